// Package budget decides which connections of callers are refused or closed, so that
// the bytes and descriptors that they hold stay within limits.
package budget

import (
	"cmp"
	"sync"
)

// ConnID identifies a connection.
type ConnID uint64

// Limits are the limits of all connections together.
type Limits struct {
	// Bytes limits the bytes of incomplete or large messages, large responses and
	// session state. Buffers of ordinary messages are not counted.
	Bytes int
	// Connections limits the number of connections.
	Connections int
}

// LimitsOf derives the limits from the memory limit of the machine in bytes and the
// descriptor limit of the process. A sixth of the memory holds counted bytes, because
// the collector needs about twice as much for garbage, and rows are counted only once they
// were received; the rest is for ordinary callers and
// the instance itself. Half of the descriptors are for callers; the others are for
// connections to servers, to the store and to other instances.
func LimitsOf(memory, descriptors int) Limits {
	return Limits{Bytes: memory / 6, Connections: max(1, descriptors/2)}
}

// Decision says what happens to connections.
type Decision struct {
	// Close lists the other connections that are to be closed.
	Close []ConnID
	// Refused is true if the connection that asked must be closed.
	Refused bool
}

// holder is a connection and what it holds.
type holder struct {
	bytes int
	// running keeps the connection from being closed for its bytes, because a server
	// works on its request.
	running bool
	// started is true once the connection has a session.
	started bool
}

// Budget accounts for connections and the bytes that they hold.
type Budget struct {
	limits Limits

	// mu guards the fields below.
	mu      sync.Mutex
	bytes   int
	holders map[ConnID]*holder
	lastID  ConnID
}

// New returns a budget without connections.
func New(limits Limits) *Budget {
	return &Budget{holders: map[ConnID]*holder{}, limits: limits}
}

// Open adds a connection. If there are too many, the oldest connection without a session
// is closed for it. Without any such connection, the new one is refused.
func (b *Budget) Open() (ConnID, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var decision Decision
	if len(b.holders) >= b.limits.Connections {
		var oldest ConnID
		for id, h := range b.holders {
			if !h.started && (oldest == 0 || id < oldest) {
				oldest = id
			}
		}
		if oldest == 0 {
			return 0, Decision{Refused: true}
		}
		b.remove(oldest)
		decision.Close = []ConnID{oldest}
	}
	b.lastID++
	b.holders[b.lastID] = &holder{}
	return b.lastID, decision
}

// Start records that a connection has a session. It reports false if the connection was
// chosen to be closed before, so that no request begins on it.
func (b *Budget) Start(id ConnID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holders[id]
	if h == nil {
		return false
	}
	h.started = true
	return true
}

// Charge adds bytes to those that a connection holds. If the total exceeds the limit,
// connections are closed until it fits: first those without a session, and then those
// that hold the most, the oldest first. The connection that asks may be among them.
func (b *Budget) Charge(id ConnID, bytes int) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	charged := b.holders[id]
	if charged == nil {
		return Decision{Refused: true}
	}
	charged.bytes += bytes
	b.bytes += bytes
	var decision Decision
	for b.bytes > b.limits.Bytes {
		victim, found := b.victim(id)
		if !found || victim == id {
			b.remove(id)
			decision.Refused = true
			return decision
		}
		b.remove(victim)
		decision.Close = append(decision.Close, victim)
	}
	return decision
}

// victim returns the connection that is closed first. The one that asks is eligible
// even if a server works on its request.
func (b *Budget) victim(asking ConnID) (ConnID, bool) {
	var chosen ConnID
	for id, h := range b.holders {
		if h.bytes == 0 || (h.running && id != asking) {
			continue
		}
		if chosen == 0 || precedes(id, h, chosen, b.holders[chosen]) {
			chosen = id
		}
	}
	return chosen, chosen != 0
}

// precedes reports whether a connection is closed before another.
func precedes(id ConnID, h *holder, otherID ConnID, other *holder) bool {
	if h.started != other.started {
		return !h.started
	}
	return cmp.Or(cmp.Compare(other.bytes, h.bytes), cmp.Compare(id, otherID)) < 0
}

// SetRunning records whether a server works on a request of a connection. It reports false
// if the connection was chosen to be closed before, so that no request begins on it.
func (b *Budget) SetRunning(id ConnID, running bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holders[id]
	if h == nil {
		return false
	}
	h.running = running
	return true
}

// Release subtracts bytes that a connection no longer holds.
func (b *Budget) Release(id ConnID, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.holders[id]; h != nil {
		h.bytes -= bytes
		b.bytes -= bytes
	}
}

// Close removes a connection. It may have been removed already.
func (b *Budget) Close(id ConnID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(id)
}

// remove removes a connection with all its bytes. mu must be held.
func (b *Budget) remove(id ConnID) {
	if h := b.holders[id]; h != nil {
		b.bytes -= h.bytes
		delete(b.holders, id)
	}
}

// Use is what all connections hold together.
type Use struct {
	Bytes       int
	Connections int
}

// Use returns what all connections hold together.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Use{Bytes: b.bytes, Connections: len(b.holders)}
}
