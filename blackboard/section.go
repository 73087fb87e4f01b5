// Package blackboard provides the containers for the shared state of an
// instance. Each controller writes the sections that it owns, and reads those
// of others.
package blackboard

import "sync"

// Section holds one value of the shared state and notifies readers of changes.
// It has one writer and any number of readers. Readers must not modify what
// they load.
type Section[T any] struct {
	changed chan struct{}
	mu      sync.RWMutex
	value   T
}

// New returns a section that holds the given value.
func New[T any](value T) *Section[T] {
	return &Section[T]{changed: make(chan struct{}), value: value}
}

// Load returns the current value.
func (s *Section[T]) Load() T {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.value
}

// Store replaces the value and wakes all readers that wait for a change.
func (s *Section[T]) Store(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch returns the current value and a channel that is closed when that value
// is replaced, so that a reader that waits on the channel misses no change.
func (s *Section[T]) Watch() (value T, changed <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.value, s.changed
}
