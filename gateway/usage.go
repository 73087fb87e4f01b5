package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/usage"
)

const (
	// usageTable holds the counts of all instances and the ledger of the reports.
	usageTable Table = "nutmegpier-usage"
	// usagePartition holds all rows of usageTable, so that one call reads them.
	usagePartition Partition = "usage"
	// ledgerKey is the key of the ledger. It can't be the name of an instance, because
	// names begin with a letter or digit.
	ledgerKey = ".ledger"
	// usageTick is the time between two decisions about counts and reports.
	usageTick = 100 * time.Millisecond
	// usageReportTimeout is the timeout of one report.
	usageReportTimeout = 1500 * time.Millisecond
	// usageLeaseReserve is how much longer the leader's lease must be valid when a report
	// is sent. A connection that is cut at that moment may still deliver the report when
	// the cut ends, until it is given up after 3 s; another instance takes the leadership
	// 1 s after the end of the lease at the earliest.
	usageLeaseReserve = 1500 * time.Millisecond
)

// UsageReporter reports usage to the platform.
type UsageReporter interface {
	// ReportUsage reports the counts of a window. The holder is this instance, and the
	// token its fencing token. Nothing is sent if permitted, which is called when there is
	// a connection, returns false.
	ReportUsage(ctx context.Context, window usage.Window, counts usage.Counts, holder fleet.InstanceID, token primacy.Token, permitted func() bool) error
}

// usageState counts what servers began for the callers of this instance, and keeps the
// counts of others.
type usageState struct {
	// keeperSilentUntil is when a keeper that did not answer is called again. It is used
	// only by maintainUsageRow.
	keeperSilentUntil map[fleet.InstanceID]time.Time
	schedule          usage.Schedule

	// mu guards the fields below. It may be locked while the gateway's mu is held.
	mu      sync.Mutex
	counter *usage.Counter
	clock   usage.TrueClock
	// kept holds the rows that other instances have left here.
	kept map[string]keptUsage
	// publishedOffset is the offset in this instance's membership row.
	publishedOffset usage.Offset
	// revision is that of this instance's row.
	revision feed.Revision
	state    UsageState
}

// UsageState is the state of the usage reports, as published in the metrics.
type UsageState struct {
	// Accepted, Failed and Dropped are numbers of reports.
	Accepted int
	Dropped  int
	Failed   int
	// LastReported is the last window of which this instance had a report accepted.
	LastReported usage.Window
	// LateHere counts units that this instance counted after their window was complete,
	// and LateUnits those that this instance found after it had fixed the window.
	LateHere  int64
	LateUnits int64
	// MissingInstances is the sum over the reports of the instances that were missing.
	MissingInstances int
	// Operations and Statements count what servers began for callers of this instance.
	Operations int64
	Statements int64
}

// newUsageState returns nil if no usage is reported.
func newUsageState(config Config) *usageState {
	schedule := usage.Schedule{Late: config.Settings.Usage.Late, Length: config.Settings.Usage.Window}
	if !schedule.Enabled() || config.UsageReporter == nil {
		return nil
	}
	return &usageState{
		counter: usage.NewCounter(usage.Run{Epoch: config.Epoch, Instance: config.Instance}), kept: map[string]keptUsage{},
		keeperSilentUntil: map[fleet.InstanceID]time.Time{}, schedule: schedule,
	}
}

// metrics returns the published state.
func (u *usageState) metrics() UsageState {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := u.state
	state.LateHere = u.counter.Late()
	return state
}

// count counts statements that a server began at a time of the instance's clock.
func (u *usageState) count(at time.Time, workspace fleet.WorkspaceID, begun int64, first bool) {
	if begun == 0 || workspace == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state.Statements += usage.UnitStatement.Count(begun, first)
	u.state.Operations += usage.UnitOperation.Count(begun, first)
	if trueTime, known := u.clock.At(at); known {
		u.counter.Add(u.schedule.Window(trueTime), workspace, usage.ReportedUnit.Count(begun, first))
	}
}

// trueTime returns the true time at a time of the instance's clock.
func (u *usageState) trueTime(now time.Time) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clock.At(now)
}

// settledTime returns the true time, and whether it can be relied on for reports.
func (u *usageState) settledTime(now time.Time) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	trueTime, _ := u.clock.At(now)
	return trueTime, u.clock.Settled(now)
}

// usageLease counts what a server began on a lease of a session of this instance. The
// instance of the session counts, and not the owner of the group: an owner has an eighth
// of the traffic, so that more is lost with it.
type usageLease struct {
	session.Lease
	// counted is true once a server began a statement.
	counted   bool
	gateway   *Gateway
	workspace fleet.WorkspaceID
}

// countUsage returns a lease that counts what is run on the given one, if usage is
// reported.
func (g *Gateway) countUsage(l session.Lease, workspace fleet.WorkspaceID) session.Lease {
	if g.usage == nil {
		return l
	}
	return &usageLease{Lease: l, gateway: g, workspace: workspace}
}

// Run runs a batch and counts it.
func (l *usageLease) Run(deadline time.Time, batch session.Batch) (session.Reply, *session.RunError) {
	clock := l.gateway.config.Clock
	begunAt := clock()
	reply, failure := l.Lease.Run(deadline, batch)
	if remote, isRemote := l.Lease.(*remoteLease); isRemote {
		if remote.lost {
			// Owners are silent for much longer than a statement takes, so that nearly
			// all requests without a response have not reached a server.
			return reply, failure
		}
		// The request may have waited for a connection of the owner.
		begunAt = clock()
	}
	begun := usage.Begun(batch, failure)
	l.gateway.usage.count(begunAt, l.workspace, begun, !l.counted)
	l.counted = l.counted || begun > 0
	return reply, failure
}

// publishedWallOffset returns the offset for this instance's membership row. The caller
// holds g.mu.
func (g *Gateway) publishedWallOffset(now time.Time) usage.Offset {
	u := g.usage
	if u == nil || !g.storeClock.Calibrated() {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.publishedOffset = g.wallOffset(now).Publish(u.publishedOffset)
	return u.publishedOffset
}

// wallOffset returns the offset of this instance's wall clock. The caller holds g.mu.
func (g *Gateway) wallOffset(now time.Time) usage.Offset {
	wall := time.Now
	if g.config.WallClock != nil {
		wall = g.config.WallClock
	}
	return usage.NewOffset(wall(), g.storeClock.StoreTime(now))
}

// updateTrueTime computes the true time anew from the wall clocks of the instances.
func (g *Gateway) updateTrueTime(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.storeClock.Calibrated() {
		return
	}
	live, expired := []usage.Offset{g.wallOffset(now)}, []usage.Offset(nil)
	for id, m := range g.members.members {
		switch {
		case id == g.members.self:
		case g.members.isLive(m):
			live = append(live, m.row.WallOffset)
		default:
			expired = append(expired, m.row.WallOffset)
		}
	}
	trueNow := usage.FleetOffset(live, expired).TrueTime(g.storeClock.StoreTime(now))
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	g.usage.clock.Observe(now, trueNow)
}

// runUsageReports reports usage while this instance is the leader.
func (g *Gateway) runUsageReports(ctx context.Context) error {
	holder := usage.NewHolder(g.usage.schedule)
	for sleep(ctx, usageTick) {
		now := g.config.Clock()
		trueNow, settled := g.usage.settledTime(now)
		if !settled {
			continue
		}
		token, leading := g.leaderToken(now)
		situation := usage.Situation{Leading: leading, Now: now, Token: token, TrueNow: trueNow}
		if leading {
			situation.Members, situation.Promoting = g.usageMembers(trueNow, now), g.isPromoting()
		}
		g.executeUsageStep(ctx, holder, holder.Next(situation), trueNow, token)
	}
	return nil
}

// usageMembers returns the runs of which the membership rows tell.
func (g *Gateway) usageMembers(trueNow, now time.Time) []usage.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	storeNow := g.storeClock.StoreTime(now)
	members := make([]usage.Member, 0, len(g.members.members))
	for id, m := range g.members.members {
		members = append(members, usage.Member{
			From:  trueNow.Add(m.row.Since - storeNow),
			Run:   usage.Run{Epoch: m.row.Epoch, Instance: id},
			Until: trueNow.Add(m.row.At - storeNow + primacy.LeaseTime),
		})
	}
	return members
}

// isPromoting reports whether any primary is being replaced.
func (g *Gateway) isPromoting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.groups {
		if state.primaryLease.Record().Phase == primacy.PhaseChanging {
			return true
		}
	}
	return false
}

// executeUsageStep executes one step of the holder.
func (g *Gateway) executeUsageStep(ctx context.Context, holder *usage.Holder, step usage.Step, trueNow time.Time, token primacy.Token) {
	switch step.Kind {
	case usage.StepFix:
		g.fixUsage(ctx, holder, step)
	case usage.StepNone:
	case usage.StepRead:
		g.readUsage(ctx, holder, trueNow)
	case usage.StepSend:
		g.sendUsage(ctx, holder, step.Report, token)
	}
}

// readUsage reads the ledger and the counts of all instances.
func (g *Gateway) readUsage(ctx context.Context, holder *usage.Holder, trueNow time.Time) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	snapshot, err := g.config.Store.Read(readCtx, usageTable, []Partition{usagePartition})
	if err != nil {
		holder.ReadFailed(g.config.Clock())
		return
	}
	var ledger *usage.Ledger
	var revision feed.Revision
	var rows []usage.StoredRow
	for _, row := range snapshot.Rows {
		var err error
		if row.Key == ledgerKey {
			var decoded usage.Ledger
			decoded, err = usage.DecodeLedger(row.Value)
			// A malformed ledger counts as missing. It is replaced.
			if revision = row.Revision; err == nil {
				ledger = &decoded
			}
		} else {
			var decoded usage.Row
			if decoded, err = usage.DecodeRow(row.Value); err == nil {
				rows = append(rows, usage.StoredRow{Key: row.Key, Revision: row.Revision, Row: decoded})
			}
		}
		if err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: string(usageTable) + " " + row.Key + ": " + err.Error()})
		}
	}
	late := holder.ReadDone(trueNow, ledger, revision, rows)
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	g.usage.state.LateUnits += late
}

// fixUsage writes the ledger with the counts of further windows.
func (g *Gateway) fixUsage(ctx context.Context, holder *usage.Holder, step usage.Step) {
	content, err := step.Ledger.Encode()
	if err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Text: err.Error()})
		return
	}
	writes := []Write{{Key: ledgerKey, Partition: usagePartition, Revision: step.Revision, Table: usageTable, Value: content}}
	for _, row := range step.Remove {
		writes = append(writes, Write{Key: row.Key, Partition: usagePartition, Remove: true, Revision: row.Revision, Table: usageTable})
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result, err := g.config.Store.Write(writeCtx, writes)
	if err != nil || !result.Applied {
		holder.FixFailed(g.config.Clock())
		return
	}
	holder.FixDone(step, result.Revision)
	for _, window := range step.Dropped {
		g.config.Log.Record(event.UsageNotReported, event.Fields{Text: fmt.Sprintf("window %d is too old to be reported", window)})
	}
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	g.usage.state.Dropped += len(step.Dropped)
}

// mayReport reports whether this instance is the leader with a fencing token, and for some
// time longer.
func (g *Gateway) mayReport(token primacy.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, leading := g.members.leadership.Token(g.config.Clock().Add(usageLeaseReserve))
	return leading && current == token
}

// sendUsage sends a report if this instance is still the leader with the same fencing
// token, and for some time longer.
func (g *Gateway) sendUsage(ctx context.Context, holder *usage.Holder, report usage.Report, token primacy.Token) {
	permitted := func() bool { return g.mayReport(token) }
	if !permitted() {
		return
	}
	sendCtx, cancel := context.WithTimeout(ctx, usageReportTimeout)
	defer cancel()
	err := g.config.UsageReporter.ReportUsage(sendCtx, report.Window, report.Counts, g.config.Instance, token, permitted)
	now := g.config.Clock()
	holder.SendDone(now, report.Window, err == nil)
	trueNow, _ := g.usage.trueTime(now)
	after := trueNow.Sub(g.usage.schedule.End(report.Window)).Milliseconds()
	if err != nil {
		g.config.Log.Record(event.UsageNotReported, event.Fields{Text: fmt.Sprintf("window %d, %d ms after its end: %v", report.Window, after, err)})
	} else {
		g.config.Log.Record(event.UsageReported, event.Fields{Text: reportText(report, after)})
	}
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	if err != nil {
		g.usage.state.Failed++
		return
	}
	g.usage.state.Accepted++
	g.usage.state.LastReported = report.Window
	g.usage.state.MissingInstances += len(report.Missing)
}

// reportText describes a report for the log.
func reportText(report usage.Report, afterMilliseconds int64) string {
	const maxNamed = 8
	var text strings.Builder
	fmt.Fprintf(&text, "window %d: %d begun for %d workspaces, %d ms after its end, %d instances missing", report.Window, report.Counts.Total(), len(report.Counts), afterMilliseconds, len(report.Missing))
	for i, instance := range report.Missing[:min(len(report.Missing), maxNamed)] {
		if i == 0 {
			text.WriteString(":")
		}
		text.WriteString(" " + string(instance))
	}
	return text.String()
}
