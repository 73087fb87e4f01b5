package standin

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// heartbeatInterval is the time between heartbeats of a primary.
const heartbeatInterval = 50 * time.Millisecond

// replicate sends the log of one server to another for as long as the group runs.
func (g *Group) replicate(from, to *Server) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for g.ctx.Err() == nil {
		next, changed := g.transfer(from, to, time.Now())
		timer.Reset(next)
		select {
		case <-changed:
		case <-g.ctx.Done():
		case <-timer.C:
		}
	}
}

// transfer moves the entries that are due. It returns the time until the next
// entry or heartbeat is due, and the channel that reports a change of the sender.
func (g *Group) transfer(from, to *Server, now time.Time) (time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if from.role != group.RolePrimary || !g.linked(from, to) {
		return heartbeatInterval, from.changed
	}
	if !to.follow(from, now) {
		return heartbeatInterval, from.changed
	}
	before := len(to.log)
	next := heartbeatInterval
	for _, e := range from.log[before:] {
		if wait := e.at.Add(g.options.ReceiveDelay).Sub(now); wait > 0 {
			next = min(next, wait)
			break
		}
		to.log = append(to.log, logged{entry: e.entry, at: now})
	}
	if len(to.log) == len(from.log) {
		to.lost = false
	}
	if len(to.log) != before {
		to.broadcast()
	}
	return next, from.changed
}

// follow makes the server a replica of a primary and cuts its log back to the
// common part. It reports false when a promise forbids that. The caller holds
// the group's lock.
func (s *Server) follow(primary *Server, now time.Time) bool {
	promise, accepted := s.promise.Follow(primary.term, primary.promise.Holder)
	if !accepted {
		return false
	}
	s.promise = promise
	s.contact = now
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

// applyLoop applies received entries for as long as the group runs.
func (s *Server) applyLoop() {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for s.group.ctx.Err() == nil {
		next, changed := s.applyDue(time.Now())
		timer.Reset(next)
		select {
		case <-changed:
		case <-s.group.ctx.Done():
		case <-timer.C:
		}
	}
}

// applyDue applies the entries whose lag has passed. It returns the time until
// the next one is due, and the channel that reports a change of the server.
func (s *Server) applyDue(now time.Time) (time.Duration, <-chan struct{}) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.refresh()
	for {
		e, wait, changed := s.nextToApply(now)
		if e == nil {
			return wait, changed
		}
		s.applyEntry(e)
	}
}

// nextToApply returns the next entry to apply, or nil and the time until there
// may be one.
func (s *Server) nextToApply(now time.Time) (*entry, time.Duration, <-chan struct{}) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.applied >= len(s.log) || s.role == group.RolePrimary || s.paused || !s.running || s.rebuild {
		return nil, heartbeatInterval, s.changed
	}
	e := s.log[s.applied]
	if wait := e.at.Add(s.applyLag).Sub(now); wait > 0 {
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
	// The log may have been cut back meanwhile. Then the data is rebuilt.
	if s.rebuild || err != nil {
		s.rebuild = true
		return
	}
	s.applied++
	s.broadcast()
}

// refresh rebuilds the data after the log was cut back. The caller holds the
// engine's lock.
func (s *Server) refresh() {
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

// applyAll applies the whole log at once, without lag.
func (s *Server) applyAll() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.applyRest()
}

// applyRest applies the whole log at once. The caller holds the engine's lock.
func (s *Server) applyRest() {
	s.refresh()
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
	return int(p.Log) <= s.applied && historyOf(s.log[:s.applied]).Contains(p)
}
