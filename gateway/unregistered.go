package gateway

import (
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// unregisteredPollInterval is the time between two attempts to get the status of servers
// that are recorded but not registered. Each one opens a connection.
const unregisteredPollInterval = 500 * time.Millisecond

// unregisteredServers is what the leader knows of the recorded servers of a group that are
// not registered. They may run and receive commits, and only their way to the store may be
// interrupted. It is guarded by the mu of promotionController.
type unregisteredServers struct {
	// failures counts the consecutive attempts to which a server did not respond.
	failures map[fleet.ServerID]int
	polledAt time.Time
	polling  bool
}

// isSilent reports whether a server has not responded to unreachableThreshold consecutive
// attempts.
func (u *unregisteredServers) isSilent(id fleet.ServerID) bool {
	return u.failures[id] >= unreachableThreshold
}

// forget discards what is known of a server that is registered.
func (u *unregisteredServers) forget(id fleet.ServerID) {
	delete(u.failures, id)
}

// record records whether a server has responded.
func (u *unregisteredServers) record(id fleet.ServerID, responded bool) {
	if u.failures == nil {
		u.failures = map[fleet.ServerID]int{}
	}
	u.failures[id]++
	if responded {
		u.failures[id] = 0
	}
}

// pollUnregistered starts to ask the given servers for their status, unless it did so
// shortly before. The decision doesn't wait for them. The caller holds p.mu.
func (p *promotionController) pollUnregistered(now time.Time, state *promotionState, servers []pool.Server) {
	u := &state.unregistered
	if len(servers) == 0 || u.polling || now.Sub(u.polledAt) < unregisteredPollInterval {
		return
	}
	u.polling, u.polledAt = true, now
	go func() {
		var calls sync.WaitGroup
		for _, server := range servers {
			calls.Go(func() { p.pollUnregisteredServer(state, server, now) })
		}
		calls.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		u.polling = false
	}()
}

// pollUnregisteredServer requests the status of a server on a new connection, which names
// the expected server.
func (p *promotionController) pollUnregisteredServer(state *promotionState, server pool.Server, now time.Time) {
	g := p.gateway
	deadline := now.Add(statusTimeout)
	conn, failure := g.config.Dialer.Dial(deadline, server, pool.ControlWorkspace)
	if failure != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		// A server at its connection limit runs.
		state.unregistered.record(server.ID, failure.Kind == session.KindBusy)
		return
	}
	defer conn.Close()
	status, err := g.config.Control.Status(deadline, conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	state.unregistered.record(server.ID, true)
	if err == nil {
		state.statuses[server.ID] = statusReport{requestedAt: now, status: status}
	}
}
