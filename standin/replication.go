package standin

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// heartbeatInterval is the time between the heartbeats that a primary sends to
// its replicas.
const heartbeatInterval = 50 * time.Millisecond

// replicate sends the log of one server to another until the group is closed.
func (g *Group) replicate(from, to *Server) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for g.ctx.Err() == nil {
		next, changed := g.sendDueEntries(from, to, time.Now())
		timer.Reset(next)
		select {
		case <-changed:
		case <-g.ctx.Done():
		case <-timer.C:
		}
	}
}

// sendDueEntries copies the entries whose receive delay has passed to the
// receiver's log. It returns the time until the next entry or heartbeat is due,
// and the channel that is closed when the state of the sender changes.
func (g *Group) sendDueEntries(from, to *Server, now time.Time) (time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !from.sendsLog() || !g.canReplicate(from, to) {
		return heartbeatInterval, from.changed
	}
	if !to.follow(from, now) {
		return heartbeatInterval, from.changed
	}
	before := len(to.log)
	next := heartbeatInterval
	for _, e := range from.log[before:] {
		if wait := e.storedAt.Add(g.options.ReceiveDelay).Sub(now); wait > 0 {
			next = min(next, wait)
			break
		}
		to.log = append(to.log, storedEntry{entry: e.entry, storedAt: now})
	}
	if len(to.log) == len(from.log) {
		to.logLost = false
	}
	if len(to.log) != before {
		to.broadcast()
	}
	return next, from.changed
}

// sendsLog reports whether the server sends its log to the others. A fenced
// primary keeps sending the entries it has, so that a replica can receive the
// whole log before a planned handover.
func (s *Server) sendsLog() bool {
	return s.role == group.RolePrimary || s.role == group.RoleFenced
}

// follow makes the server a replica of a primary and truncates its log to the
// common prefix. It returns false if the server has promised a higher term. The
// caller holds the group's lock.
func (s *Server) follow(primary *Server, now time.Time) bool {
	promise, accepted := s.promise.Follow(primary.term, primary.promise.Holder)
	if !accepted {
		return false
	}
	s.promise = promise
	s.lastContact = now
	if s.term == primary.term && s.role == group.RoleReplica {
		return true
	}
	s.term = primary.term
	s.role = group.RoleReplica
	s.writer = nil
	if common := commonPrefix(s.log, primary.log); common < len(s.log) {
		s.log = s.log[:common:common]
		s.applied = min(s.applied, common)
		s.rebuild = true
	}
	s.broadcast()
	return true
}

// applyLoop applies received entries until the group is closed.
func (s *Server) applyLoop() {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for s.group.ctx.Err() == nil {
		next, changed := s.applyDueEntries(time.Now())
		timer.Reset(next)
		select {
		case <-changed:
		case <-s.group.ctx.Done():
		case <-timer.C:
		}
	}
}

// applyDueEntries applies the entries whose apply lag has passed. It returns the
// time until the next one is due, and the channel that is closed when the state
// of the server changes.
func (s *Server) applyDueEntries(now time.Time) (time.Duration, <-chan struct{}) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.rebuildIfNeeded()
	for {
		e, wait, changed := s.nextDueEntry(now)
		if e == nil {
			return wait, changed
		}
		s.applyEntry(e)
	}
}

// nextDueEntry returns the next entry to apply. If none is due, it returns nil and
// the time after which to check again.
func (s *Server) nextDueEntry(now time.Time) (*entry, time.Duration, <-chan struct{}) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.applied >= len(s.log) || s.role == group.RolePrimary || s.paused || !s.running || s.rebuild {
		return nil, heartbeatInterval, s.changed
	}
	e := s.log[s.applied]
	if wait := e.storedAt.Add(s.applyLag).Sub(now); wait > 0 {
		return nil, min(wait, heartbeatInterval), s.changed
	}
	return e.entry, 0, s.changed
}

// applyEntry applies an entry and advances the applied position. The caller
// holds the engine's lock.
func (s *Server) applyEntry(e *entry) {
	err := s.engine.apply(e)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	// If the log was truncated in the meantime, the data has to be rebuilt.
	if s.rebuild || err != nil {
		s.rebuild = true
		return
	}
	s.applied++
	s.broadcast()
}

// rebuildIfNeeded rebuilds the data if it no longer matches the log. If that fails,
// the next call tries again. The caller holds the engine's lock.
func (s *Server) rebuildIfNeeded() {
	s.group.mu.Lock()
	needed := s.rebuild
	log := s.log[:s.applied]
	s.rebuild = false
	s.group.mu.Unlock()
	if !needed {
		return
	}
	if err := s.engine.rebuild(log); err != nil {
		s.group.mu.Lock()
		s.rebuild = true
		s.group.mu.Unlock()
	}
}

// applyAll applies the whole received log immediately, regardless of the apply lag.
func (s *Server) applyAll() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.applyAllLocked()
}

// applyAllLocked is applyAll for callers that hold the engine's lock.
func (s *Server) applyAllLocked() {
	s.rebuildIfNeeded()
	for {
		s.group.mu.Lock()
		var e *entry
		if s.applied < len(s.log) && !s.rebuild {
			e = s.log[s.applied].entry
		}
		s.group.mu.Unlock()
		if e == nil {
			return
		}
		s.applyEntry(e)
	}
}

// logEnd returns the end of the received log. The caller holds the group's lock.
func (s *Server) logEnd() fleet.Position {
	return positionAt(s.log, len(s.log))
}

// appliedCovers reports whether the applied part of the log contains the
// position. The caller holds the group's lock.
func (s *Server) appliedCovers(p fleet.Position) bool {
	return int(p.Log) <= s.applied && termHistory(s.log[:s.applied]).Contains(p)
}
