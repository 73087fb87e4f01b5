package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
)

const (
	// promoteTick is the time between two looks at the groups by the leader.
	// A change takes hundreds of milliseconds.
	promoteTick = 40 * time.Millisecond
	// idleTick is the same for instances that do not lead.
	idleTick = 250 * time.Millisecond
	// statusInterval is the least time between two rounds of status calls in
	// a change. Each takes a slot of the server.
	statusInterval = 60 * time.Millisecond
	// calmStatusInterval is the same outside a change.
	calmStatusInterval = time.Second
	// statusCallBound bounds one status call.
	statusCallBound = 400 * time.Millisecond
	// orderBound bounds one promotion order. The platform answers once it is
	// done, or loses the answer.
	orderBound = 1500 * time.Millisecond
	// leaderLook is the time between two looks of the leader at the other
	// instances, for news of which it was not told, and fastLook the same while
	// a primary is suspected or replaced.
	leaderLook = 2 * time.Second
	fastLook   = 60 * time.Millisecond
)

// promotion is what the leader knows of one group besides the record.
type promotion struct {
	busy    bool
	changed time.Time
	ordered time.Time
	// permitted is the record that this instance wrote and whose last order it
	// has not given yet.
	permitted primacy.Record
	polled    time.Time
	record    primacy.Record
	statuses  map[fleet.ServerID]serverReport
}

type serverReport struct {
	at     time.Time
	status ServerStatus
}

// promoter takes the leader's steps.
type promoter struct {
	gateway *Gateway
	looker  *follower
	looked  time.Time

	mu     sync.Mutex
	groups map[fleet.GroupID]*promotion
}

// promote orders promotions while this instance leads.
func (g *Gateway) promote(ctx context.Context) error {
	p := &promoter{gateway: g, groups: map[fleet.GroupID]*promotion{}, looker: g.newOwnFollower(memberTable, 0, memberPartitions()...)}
	tick := idleTick
	for pause(ctx, tick) {
		tick = idleTick
		if g.isToldToLook() {
			p.looked = time.Time{}
		}
		now := g.config.Clock()
		token, leading := g.leaderToken(now)
		if !leading {
			p.forget()
			continue
		}
		tick = promoteTick
		interval := leaderLook
		if p.urgent() {
			interval = fastLook
		}
		if now.Sub(p.looked) >= interval {
			p.looked = now
			p.looker.note(g.lookAtMembers(ctx, p.looker))
		}
		for _, group := range g.knownGroups() {
			p.step(ctx, group, token)
		}
	}
	return nil
}

// isToldToLook reports whether another instance has told of news since the last
// call.
func (g *Gateway) isToldToLook() bool {
	select {
	case <-g.lookNow:
		return true
	default:
		return false
	}
}

func (g *Gateway) leaderToken(now time.Time) (primacy.Token, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLeading(now)
	return g.members.leadership.Token(now)
}

func (g *Gateway) knownGroups() []fleet.GroupID {
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

// forget drops what was learned while leading.
func (p *promoter) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.groups)
}

// urgent reports whether a primary is being replaced, or suspected by this or
// another instance.
func (p *promoter) urgent() bool {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.groups {
		record := state.watch.Record()
		if record.Phase == primacy.PhaseChanging || g.isLost(record.Primary) || g.members.suspects(record.Primary) {
			return true
		}
	}
	return false
}

// step decides on a group and starts what is to be done. Groups do not wait
// for each other.
func (p *promoter) step(ctx context.Context, group fleet.GroupID, token primacy.Token) {
	p.mu.Lock()
	state := p.groups[group]
	if state == nil {
		state = &promotion{statuses: map[fleet.ServerID]serverReport{}}
		p.groups[group] = state
	}
	if state.busy {
		p.mu.Unlock()
		return
	}
	now := p.gateway.config.Clock()
	situation, revision, servers := p.situation(now, group, state)
	step := primacy.Decide(now, situation)
	calm := situation.Record.Phase != primacy.PhaseChanging
	if step.Kind == primacy.StepNone {
		step = p.extraStatus(situation)
	}
	interval := statusInterval
	if calm {
		interval = calmStatusInterval
	}
	if step.Kind == primacy.StepNone || (step.Kind == primacy.StepStatus && now.Sub(state.polled) < interval) {
		p.mu.Unlock()
		return
	}
	state.busy = true
	p.mu.Unlock()
	go func() {
		p.act(ctx, group, state, step, revision, servers, token)
		p.mu.Lock()
		state.busy = false
		p.mu.Unlock()
	}()
}

// extraStatus asks for statuses when a server that isn't the recorded primary
// says that it is one: an order whose answer was lost may have taken effect.
func (p *promoter) extraStatus(s primacy.Situation) primacy.Step {
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

// situation gathers what the decision depends on.
func (p *promoter) situation(now time.Time, group fleet.GroupID, state *promotion) (primacy.Situation, feed.Revision, []pool.Server) {
	g := p.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.group(group)
	record := known.watch.Record()
	if record.Generation != state.record.Generation {
		state.changed, state.ordered = now, time.Time{}
	}
	state.record = record
	s := primacy.Situation{GenerationSeenAt: state.changed, LastOrderAt: state.ordered, OrderPending: record.Target != "" && record == state.permitted, Record: record}
	if g.routing != nil {
		s.SyncReplicas = g.routing.Database(group).SyncReplicas
	}
	for id, m := range g.members.members {
		s.Members = append(s.Members, p.memberOf(id, m, group, record))
	}
	if g.members.readAt.Before(state.changed) {
		// An instance that began meanwhile may not be known yet.
		s.Members = append(s.Members, primacy.Member{Live: true})
	}
	var servers []pool.Server
	for id, server := range g.servers {
		if server.Group != group {
			continue
		}
		report := state.statuses[id]
		s.Servers = append(s.Servers, primacy.Server{
			RegisteredAsPrimary: server.Primary,
			Eligible:            !server.Draining && g.routing != nil && g.routing.IsInService(server.DataCentre),
			ID:                  id,
			Position:            report.status.Position,
			Registered:          true,
			Role:                report.status.Role,
			StatusAt:            report.at,
			Term:                report.status.Term,
		})
		if !g.isUnreachable(id) {
			// A round of status calls must not wait for a server that is gone.
			servers = append(servers, pool.Server{Address: server.Address, Group: group, ID: id})
		}
	}
	return s, known.revision, servers
}

// memberOf returns the leader's view of an instance. The caller holds the lock.
func (p *promoter) memberOf(id fleet.InstanceID, m *member, group fleet.GroupID, record primacy.Record) primacy.Member {
	g := p.gateway
	view := primacy.Member{Live: g.members.live(m)}
	if id == g.members.self {
		view.Live = true
		view.Left = g.members.left[group]
		view.Unreachable = g.isLost(record.Primary)
		return view
	}
	for _, left := range m.row.Left {
		if left.Group == group {
			view.Left = left.Generation
		}
	}
	for _, server := range m.row.Unreachable {
		view.Unreachable = view.Unreachable || server == record.Primary
	}
	return view
}

func (p *promoter) act(ctx context.Context, group fleet.GroupID, state *promotion, step primacy.Step, revision feed.Revision, servers []pool.Server, token primacy.Token) {
	switch step.Kind {
	case primacy.StepPromote:
		p.order(ctx, group, state, step.Target, token)
	case primacy.StepStatus:
		p.poll(state, servers)
	case primacy.StepWrite:
		p.write(ctx, group, state, step.Record, revision)
	}
}

// poll asks all servers of a group for their status at once. A primary of an
// earlier term than the record's is told to step down.
func (p *promoter) poll(state *promotion, servers []pool.Server) {
	var calls sync.WaitGroup
	now := p.gateway.config.Clock()
	p.mu.Lock()
	state.polled = now
	record := state.record
	p.mu.Unlock()
	for _, server := range servers {
		calls.Go(func() { p.ask(state, server, record, now) })
	}
	calls.Wait()
}

// ask asks one server for its status.
func (p *promoter) ask(state *promotion, server pool.Server, record primacy.Record, now time.Time) {
	g := p.gateway
	deadline := now.Add(statusCallBound)
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
	state.statuses[server.ID] = serverReport{at: now, status: status}
}

func (p *promoter) order(ctx context.Context, group fleet.GroupID, state *promotion, target fleet.ServerID, token primacy.Token) {
	g := p.gateway
	now := g.config.Clock()
	if current, leading := g.leaderToken(now); !leading || current != token {
		return
	}
	p.mu.Lock()
	state.ordered = now
	state.permitted = primacy.Record{}
	p.mu.Unlock()
	g.config.Log.Record(event.PromotionOrdered, event.Fields{Database: group, Server: target})
	bounded, cancel := context.WithTimeout(ctx, orderBound)
	defer cancel()
	if err := g.config.Promoter.Promote(bounded, group, target, g.config.Instance, token); err != nil {
		g.config.Log.Record(event.PromotionLost, event.Fields{Database: group, Text: err.Error()})
	}
}

// write writes the next record under the condition that nobody did before.
func (p *promoter) write(ctx context.Context, group fleet.GroupID, state *promotion, record primacy.Record, revision feed.Revision) {
	g := p.gateway
	record.Group = group
	content, err := record.Encode()
	if err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Database: group, Text: err.Error()})
		return
	}
	bounded, cancel := context.WithTimeout(ctx, writeBound)
	defer cancel()
	result, err := g.config.Store.Write(bounded, []Write{{Key: string(group), Partition: recordPartition, Revision: revision, Table: recordTable, Value: content}})
	if err != nil {
		// It may take effect later; the condition keeps it from undoing more.
		g.config.Log.Record(event.PromotionLost, event.Fields{Database: group, Text: err.Error()})
		return
	}
	now := g.config.Clock()
	if result.Applied {
		p.mu.Lock()
		state.permitted = record
		p.mu.Unlock()
		g.adoptRecord(now, record, result.Revision, time.Time{})
		return
	}
	for _, row := range result.Current {
		if current, err := primacy.Decode(row.Value); err == nil {
			g.adoptRecord(now, current, row.Revision, time.Time{})
		}
	}
}
