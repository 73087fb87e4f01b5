// Package blackboard holds the shared state of an instance. Each controller
// owns the sections that it writes and reads those of the others.
package blackboard

import "sync"

// Section is one value on the blackboard. It has one writer and any number of
// readers. Readers must not change what they load.
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

// Store replaces the value and wakes all who wait for a change.
func (s *Section[T]) Store(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch returns the current value and a channel that is closed when it is
// replaced. Both belong to the same moment, so no change is missed.
func (s *Section[T]) Watch() (value T, changed <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.value, s.changed
}
