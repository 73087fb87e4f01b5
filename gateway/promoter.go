package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
)

const (
	// leaderTick is the time between two rounds in which the leader decides on the
	// groups. A change of primary takes hundreds of milliseconds.
	leaderTick = 40 * time.Millisecond
	// nonLeaderTick is the time between two checks by other instances of whether
	// they have become the leader.
	nonLeaderTick = 250 * time.Millisecond
	// statusInterval is the minimum time between two rounds of status calls during
	// a change of primary. Each call takes a slot of the server.
	statusInterval = 60 * time.Millisecond
	// steadyStatusInterval replaces statusInterval while no change is under way.
	steadyStatusInterval = time.Second
	// statusTimeout is the timeout of one status call.
	statusTimeout = 400 * time.Millisecond
	// promotionTimeout is the timeout of one promotion order. The platform responds
	// when the promotion is done, or the response is lost.
	promotionTimeout = 1500 * time.Millisecond
	// leaderPollInterval is the time between two reads of the instances' rows by
	// the leader, in case a notification was lost. urgentPollInterval replaces it
	// while a primary is suspected or being replaced.
	leaderPollInterval = 2 * time.Second
	urgentPollInterval = 60 * time.Millisecond
)

// promotionState is the leader's state for one group, in addition to the primary
// record. It is guarded by the mu of promotionController.
type promotionState struct {
	// stepRunning is true while a step for the group is being executed.
	stepRunning bool
	// generationSeenAt is when the current generation of the record was first seen.
	generationSeenAt time.Time
	// lastOrderAt is when this instance last ordered a promotion in that
	// generation, or zero.
	lastOrderAt time.Time
	// unsentOrder is the record that this instance has written and whose latest
	// promotion order it has not sent yet.
	unsentOrder primacy.Record
	// blockedLogged and missingLogged are true once it was logged that no server can be
	// promoted in the current generation, and that servers are missing.
	blockedLogged, missingLogged bool
	// polledAt is when the servers were last asked for their status.
	polledAt time.Time
	// unregistered are the recorded servers without an entry.
	unregistered unregisteredServers
	record       primacy.Record
	statuses     map[fleet.ServerID]statusReport
}

// statusReport is a server's status and when it was requested.
type statusReport struct {
	requestedAt time.Time
	status      ServerStatus
}

// promotionController decides on changes of primaries and executes them while this
// instance is the leader.
type promotionController struct {
	gateway *Gateway
	// memberFollower reads the instances' rows from the store itself.
	memberFollower *tableFollower
	// membersPolledAt is when these rows were last read. Zero means that they must
	// be read now.
	membersPolledAt time.Time

	// mu guards groups. It is locked before the gateway's mu.
	mu     sync.Mutex
	groups map[fleet.GroupID]*promotionState
}

// runPromotions runs the promotion controller until the context is cancelled.
func (g *Gateway) runPromotions(ctx context.Context) error {
	p := &promotionController{gateway: g, groups: map[fleet.GroupID]*promotionState{}, memberFollower: g.newDirectFollower(memberTable, 0, memberPartitions()...)}
	tick := nonLeaderTick
	for sleep(ctx, tick) {
		tick = nonLeaderTick
		if g.takeMemberPollRequest() {
			p.membersPolledAt = time.Time{}
		}
		now := g.config.Clock()
		token, leading := g.leaderToken(now)
		if !leading {
			p.reset()
			continue
		}
		tick = leaderTick
		interval := leaderPollInterval
		if p.needsFastPolling(now) {
			interval = urgentPollInterval
		}
		if now.Sub(p.membersPolledAt) >= interval {
			p.membersPolledAt = now
			p.memberFollower.logAvailability(g.pollMembers(ctx, p.memberFollower))
		}
		for _, group := range g.routedGroups() {
			p.step(ctx, group, token)
		}
	}
	return nil
}

// takeMemberPollRequest reports whether another instance has requested a read of the
// instances' rows since the last call.
func (g *Gateway) takeMemberPollRequest() bool {
	select {
	case <-g.memberPollRequests:
		return true
	default:
		return false
	}
}

// leaderToken returns the fencing token for promotion orders, and whether this
// instance is the leader.
func (g *Gateway) leaderToken(now time.Time) (primacy.Token, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLeading(now)
	return g.members.leadership.Token(now)
}

// routedGroups returns the groups that the sheet has routes to.
func (g *Gateway) routedGroups() []fleet.GroupID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routing == nil {
		return nil
	}
	var groups []fleet.GroupID
	for group := range g.routing.Groups() {
		groups = append(groups, group)
	}
	return groups
}

// reset discards the state gathered while this instance was the leader.
func (p *promotionController) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.groups)
}

// needsFastPolling reports whether any primary is being replaced, or can't be used by
// this or another live instance.
func (p *promotionController) needsFastPolling(now time.Time) bool {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.groups {
		record := state.primaryLease.Record()
		if record.Phase == primacy.PhaseChanging || g.isPrimaryUnavailable(now, state) || g.members.reportedUnreachable(record.Primary) {
			return true
		}
	}
	return false
}

// step decides on the next step for a group and executes it in a goroutine of its
// own, so that groups do not wait for each other.
func (p *promotionController) step(ctx context.Context, group fleet.GroupID, token primacy.Token) {
	p.mu.Lock()
	state := p.groups[group]
	if state == nil {
		state = &promotionState{statuses: map[fleet.ServerID]statusReport{}}
		p.groups[group] = state
	}
	if state.stepRunning {
		p.mu.Unlock()
		return
	}
	now := p.gateway.config.Clock()
	situation, revision, servers, unregistered := p.situation(now, group, state)
	step := primacy.Decide(now, situation)
	p.logObstacles(group, state, situation.Record, step)
	steady := situation.Record.Phase != primacy.PhaseChanging
	if step.Kind == primacy.StepNone && steady {
		// In a change, Decide uses each status since its start, so none is requested while
		// an instance may still have commits acknowledged.
		step = p.statusStepForClaimant(situation)
	}
	interval := statusInterval
	if steady {
		interval = steadyStatusInterval
	}
	if step.Kind == primacy.StepNone || (step.Kind == primacy.StepStatus && now.Sub(state.polledAt) < interval) {
		p.mu.Unlock()
		return
	}
	state.stepRunning = true
	if step.Kind == primacy.StepStatus {
		p.pollUnregistered(now, state, unregistered)
	}
	p.mu.Unlock()
	go func() {
		p.execute(ctx, group, state, step, revision, servers, token)
		p.mu.Lock()
		state.stepRunning = false
		p.mu.Unlock()
	}()
}

// logObstacles logs what a change of primary waits for, once in each generation, and a
// promotion that may lose commits. The caller holds p.mu.
func (p *promotionController) logObstacles(group fleet.GroupID, state *promotionState, record primacy.Record, step primacy.Step) {
	log := p.gateway.config.Log
	if step.Blocked && !state.blockedLogged {
		state.blockedLogged = true
		log.Record(event.PromotionBlocked, event.Fields{Database: group, Server: record.Primary, Term: record.Term, Text: "history " + record.History.String()})
	}
	if !step.Unproven {
		return
	}
	missing := fmt.Sprintf("missing servers %v, recorded %+v", step.Missing, record.Servers)
	switch {
	case step.Kind == primacy.StepWrite:
		log.Record(event.PromotionUnproven, event.Fields{Database: group, Server: step.Record.Target, Term: record.Term, Text: missing})
	case !state.missingLogged:
		state.missingLogged = true
		log.Record(event.PromotionWaits, event.Fields{Database: group, Server: record.Primary, Term: record.Term, Text: missing})
	}
}

// statusStepForClaimant returns a status step if a server other than the recorded
// primary is registered as primary: a promotion order whose response was lost may
// have taken effect.
func (p *promotionController) statusStepForClaimant(s primacy.Situation) primacy.Step {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, server := range s.Servers {
		known := g.servers[server.ID]
		if known != nil && known.Primary && server.ID != s.Record.Primary {
			return primacy.Step{Kind: primacy.StepStatus}
		}
	}
	return primacy.Step{Kind: primacy.StepNone}
}

// situation returns the input of the decision on a group, the revision of the group's
// primary record, and the servers to ask for their status: those that are registered, and
// those that are only recorded. The caller holds p.mu.
func (p *promotionController) situation(now time.Time, group fleet.GroupID, state *promotionState) (s primacy.Situation, revision feed.Revision, servers, unregistered []pool.Server) {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.group(group)
	record := current.primaryLease.Record()
	if record.Generation != state.record.Generation {
		state.generationSeenAt, state.lastOrderAt = now, time.Time{}
		state.blockedLogged, state.missingLogged = false, false
	}
	state.record = record
	s = primacy.Situation{
		GenerationSeenAt: state.generationSeenAt, LastOrderAt: state.lastOrderAt,
		OrderPending: record.Target != "" && record.Equal(state.unsentOrder), Record: record,
	}
	if g.routing != nil {
		s.SyncReplicas = g.routing.Database(group).SyncReplicas
	}
	for id, m := range g.members.members {
		s.Members = append(s.Members, p.memberStatus(now, id, m, group, record))
	}
	if g.members.verifiedAt.Before(state.generationSeenAt) {
		// An instance that has started since the rows were read may not be known
		// yet, so a live instance that has not confirmed the change is assumed.
		s.Members = append(s.Members, primacy.Member{Live: true})
	}
	for id, server := range g.servers {
		if server.Group != group {
			continue
		}
		report := state.statuses[id]
		s.Servers = append(s.Servers, primacy.Server{
			Address:    server.Address,
			Born:       server.Born,
			Eligible:   !server.Draining && g.routing != nil && g.routing.IsInService(server.DataCentre),
			ID:         id,
			Position:   report.status.Position,
			Registered: true,
			Role:       report.status.Role,
			StatusAt:   report.requestedAt,
			Term:       report.status.Term,
		})
		if !g.isUnreachable(id) {
			// A round of status calls must not wait for an unreachable server.
			servers = append(servers, pool.Server{Address: server.Address, Group: group, ID: id})
		}
	}
	for _, recorded := range record.Servers {
		if server := g.servers[recorded.ID]; server != nil && server.Group == group {
			state.unregistered.forget(recorded.ID)
			continue
		}
		report := state.statuses[recorded.ID]
		s.Servers = append(s.Servers, primacy.Server{
			Address:  recorded.Address,
			Born:     recorded.Born,
			Gone:     g.isGone(now, recorded.ID) && state.unregistered.isSilent(recorded.ID),
			ID:       recorded.ID,
			Position: report.status.Position,
			Role:     report.status.Role,
			StatusAt: report.requestedAt,
			Term:     report.status.Term,
		})
		unregistered = append(unregistered, pool.Server{Address: recorded.Address, Group: group, ID: recorded.ID})
	}
	return s, current.primaryLease.Revision(), servers, unregistered
}

// memberStatus returns whether an instance is live, can't reach the primary, and has
// stopped using it. The caller holds g.mu.
func (p *promotionController) memberStatus(now time.Time, id fleet.InstanceID, m *member, group fleet.GroupID, record primacy.Record) primacy.Member {
	g := p.gateway
	status := primacy.Member{Bystander: !g.isWitness(group, id), Live: g.members.isLive(m)}
	if id == g.members.self {
		status.Live = true
		status.Left = g.members.left[group]
		status.Unreachable = g.isPrimaryUnavailable(now, g.group(group))
		status.Bystander = status.Bystander || g.isPrimaryUndecided(now, g.group(group))
		return status
	}
	status.Bystander = status.Bystander || slices.Contains(m.row.Undecided, record.Primary)
	for _, left := range m.row.Left {
		if left.Group == group {
			status.Left = left.Generation
		}
	}
	for _, server := range m.row.Unreachable {
		status.Unreachable = status.Unreachable || server == record.Primary
	}
	return status
}

// execute executes one step for a group.
func (p *promotionController) execute(ctx context.Context, group fleet.GroupID, state *promotionState, step primacy.Step, revision feed.Revision, servers []pool.Server, token primacy.Token) {
	switch step.Kind {
	case primacy.StepPromote:
		p.sendPromotionOrder(ctx, group, state, step.Target, token)
	case primacy.StepStatus:
		p.pollStatuses(state, servers)
	case primacy.StepWrite:
		p.writeRecord(ctx, group, state, step.Record, revision)
	}
}

// pollStatuses requests the status of all given servers concurrently.
func (p *promotionController) pollStatuses(state *promotionState, servers []pool.Server) {
	var calls sync.WaitGroup
	now := p.gateway.config.Clock()
	p.mu.Lock()
	state.polledAt = now
	record := state.record
	p.mu.Unlock()
	for _, server := range servers {
		calls.Go(func() { p.pollStatus(state, server, record, now) })
	}
	calls.Wait()
}

// pollStatus requests the status of one server. A server that reports itself as the
// primary of an earlier term than the record's is told to step down.
func (p *promotionController) pollStatus(state *promotionState, server pool.Server, record primacy.Record, now time.Time) {
	g := p.gateway
	deadline := now.Add(statusTimeout)
	conn, failure := g.pool.AcquireAny(deadline, server.ID)
	if failure != nil {
		return
	}
	defer g.pool.Release(server.ID, conn)
	status, err := g.config.Control.Status(deadline, conn)
	if err == nil && status.Role == primacy.RolePrimary && record.Phase == primacy.PhaseServing && status.Term < record.Term {
		err = g.config.Control.StepDown(deadline, conn, record.Term)
	}
	if err != nil {
		if !conn.Alive() {
			conn.MarkBroken()
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state.statuses[server.ID] = statusReport{requestedAt: now, status: status}
}

// sendPromotionOrder orders the promotion of a server if this instance is still the
// leader with the same fencing token.
func (p *promotionController) sendPromotionOrder(ctx context.Context, group fleet.GroupID, state *promotionState, target fleet.ServerID, token primacy.Token) {
	g := p.gateway
	now := g.config.Clock()
	if current, leading := g.leaderToken(now); !leading || current != token {
		return
	}
	p.mu.Lock()
	state.lastOrderAt = now
	state.unsentOrder = primacy.Record{}
	p.mu.Unlock()
	g.config.Log.Record(event.PromotionOrdered, event.Fields{Database: group, Server: target})
	orderCtx, cancel := context.WithTimeout(ctx, promotionTimeout)
	defer cancel()
	if err := g.config.Promoter.Promote(orderCtx, group, target, g.config.Instance, token); err != nil {
		g.config.Log.Record(event.PromotionLost, event.Fields{Database: group, Text: err.Error()})
	}
}

// writeRecord writes the next primary record if the stored one still has the given
// revision. If it does not, the current record is applied instead.
func (p *promotionController) writeRecord(ctx context.Context, group fleet.GroupID, state *promotionState, record primacy.Record, revision feed.Revision) {
	g := p.gateway
	record.Group = group
	content, err := record.Encode()
	if err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Database: group, Text: err.Error()})
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result, err := g.config.Store.Write(writeCtx, []Write{{Key: string(group), Partition: recordPartition, Revision: revision, Table: recordTable, Value: content}})
	if err != nil {
		// The write may still take effect later. Its condition ensures that it does
		// not overwrite a newer record.
		g.config.Log.Record(event.PromotionLost, event.Fields{Database: group, Text: err.Error()})
		return
	}
	now := g.config.Clock()
	if result.Applied {
		p.mu.Lock()
		known := state.record
		state.unsentOrder = record
		p.mu.Unlock()
		if record.Generation == known.Generation && record.Phase == primacy.PhaseServing {
			g.config.Log.Record(event.GroupServersRecorded, event.Fields{Database: group, Server: record.Primary, Term: record.Term, Text: fmt.Sprintf("%+v", record.Servers)})
		}
		g.applyRecord(now, record, result.Revision, time.Time{})
		return
	}
	for _, row := range result.Current {
		if current, err := primacy.Decode(row.Value); err == nil {
			g.applyRecord(now, current, row.Revision, time.Time{})
		}
	}
}
