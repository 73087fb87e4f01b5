package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/relay"
)

const (
	// longPollGrace is added to the long-poll wait for the timeout of the call.
	longPollGrace = 900 * time.Millisecond
	// readTimeout is the timeout of a call that reads a whole table.
	readTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed
	// calls.
	minRetryDelay = 80 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxRetryDelayWithRelay replaces maxRetryDelay for an instance with a relay,
	// which it polls every relayPollInterval in the meantime. On a day with an
	// outage of the store, the calls of 72 instances to it cost more than anything
	// else.
	maxRetryDelayWithRelay = 2500 * time.Millisecond
	relayPollInterval      = 250 * time.Millisecond
	// minRelayPollWait ends the polls of the relay when the store is to be called so
	// soon. The jittered waits would otherwise become ever shorter until then.
	minRelayPollWait = 20 * time.Millisecond
)

// tableFollower keeps a local copy of one table of the store, and reports its
// changes.
type tableFollower struct {
	gateway *Gateway
	// unavailable is true after a failed call until the next response.
	unavailable bool
	mirror      *feed.Mirror

	// mu guards changes of the mirror, and the next four fields, which ReadChanges
	// and interrupt use from other goroutines.
	mu sync.Mutex
	// nextResponse is closed at the next response or failure.
	nextResponse chan struct{}
	// cancel cancels the current interruptible call.
	cancel context.CancelFunc
	// fromStore is true if the last response came from the store itself.
	fromStore   bool
	interrupted bool

	// partitions are the partitions of the table that hold rows.
	partitions []Partition
	// historyLost is true after the store has lost the changes that this copy lacks,
	// until the next response. historyWaitFraction is the argument of mayAwaitRelay.
	historyLost         bool
	historyWaitFraction float64
	// loadStartedAt is when the relay was first asked for the whole table in vain.
	loadStartedAt time.Time
	// loadRefusals counts the requests for the whole table that the relay refused.
	loadRefusals int
	// useRelay is true if the copy may be read from a relay, and may be relayed to
	// other instances.
	useRelay bool
	table    Table
	// bypassRelay is true while an immediate response of the store itself is
	// needed.
	bypassRelay bool
	// longPollWait is how long the store may hold a call until there is a change.
	longPollWait time.Duration
}

// newFollower returns a follower that may use a relay, and whose copy other instances
// may request.
func (g *Gateway) newFollower(table Table, longPollWait time.Duration, partitions ...Partition) *tableFollower {
	f := g.newDirectFollower(table, longPollWait, partitions...)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followers[table] = f
	f.useRelay = g.config.RelayClient != nil
	return f
}

// newDirectFollower returns a follower that always reads the store itself, and whose
// copy is not relayed.
func (g *Gateway) newDirectFollower(table Table, longPollWait time.Duration, partitions ...Partition) *tableFollower {
	return &tableFollower{nextResponse: make(chan struct{}), gateway: g, mirror: feed.NewMirror(), partitions: partitions, table: table, longPollWait: longPollWait}
}

// follow reads changes and calls apply after each response until the context is
// cancelled. The argument changed is empty if the response only verifies that the
// copy is up to date.
func (f *tableFollower) follow(ctx context.Context, apply func(now time.Time, changed []feed.Row)) error {
	retryDelay := time.Duration(0)
	for ctx.Err() == nil {
		longPollWait := f.longPollWait
		f.bypassRelay = f.clearInterrupt() || (f.unavailable && f.mirror.Loaded())
		if f.bypassRelay {
			// The last verification is old: a response is needed now rather than at
			// the next change.
			longPollWait = 0
		}
		changed, err := f.fetch(ctx, longPollWait)
		if err != nil && f.isInterrupted() {
			continue
		}
		if delay, mayRetry := relayRetryDelay(err); mayRetry || (err != nil && !f.mirror.Loaded() && f.awaitsNewSecret(err)) {
			f.gateway.jitteredSleep(ctx, delay)
			continue
		}
		if err != nil {
			f.logAvailability(err)
			var recovered bool
			retryDelay = f.nextRetryDelay(retryDelay)
			if changed, recovered = f.waitForStore(ctx, retryDelay); !recovered {
				continue
			}
		}
		f.logAvailability(nil)
		retryDelay = 0
		apply(f.gateway.config.Clock(), changed)
	}
	return nil
}

// nextRetryDelay returns the retry delay after a failed call, given the previous
// delay. It is longer for an instance with a relay, which learns from the relay
// when the store is available again.
func (f *tableFollower) nextRetryDelay(previous time.Duration) time.Duration {
	if _, found := f.gateway.currentRelay(time.Time{}); f.useRelay && found {
		return min(max(2*previous, maxRetryDelay), maxRetryDelayWithRelay)
	}
	return min(max(2*previous, minRetryDelay), maxRetryDelay)
}

// waitForStore waits until the store should be called again. Meanwhile it polls the
// relay, if there is one. If the relay has a newer response of the store,
// waitForStore applies it and reports that the store has recovered.
func (f *tableFollower) waitForStore(ctx context.Context, maxWait time.Duration) (changed []feed.Row, recovered bool) {
	startedAt := f.gateway.config.Clock()
	for {
		remaining := maxWait - f.gateway.config.Clock().Sub(startedAt)
		if remaining < minRelayPollWait || !f.gateway.jitteredSleep(ctx, min(remaining, relayPollInterval)) || f.isInterrupted() {
			return nil, false
		}
		peer, found := f.gateway.currentRelay(time.Time{})
		if !found || !f.useRelay || !f.mirror.Loaded() {
			continue
		}
		storeTimeBefore := f.mirror.StoreTime()
		changed, err := f.fetchFromRelay(ctx, peer, 0)
		if err == nil && (len(changed) > 0 || f.mirror.StoreTime() > storeTimeBefore) {
			f.gateway.recordRelayRecovered(peer)
			return changed, true
		}
	}
}

// interrupt cancels a pending long poll, and makes the next call go to the store and
// return immediately.
func (f *tableFollower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupted = true
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *tableFollower) isInterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.interrupted
}

// clearInterrupt resets the interrupted state and returns its previous value.
func (f *tableFollower) clearInterrupt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	interrupted := f.interrupted
	f.interrupted = false
	return interrupted
}

// interruptibleContext returns the context of a call that interrupt can cancel.
func (f *tableFollower) interruptibleContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	f.cancel = cancel
	return timeoutCtx, cancel
}

// fetchWithin is fetch, but waits only for a relay, and not for a change at the store.
func (f *tableFollower) fetchWithin(ctx context.Context, wait time.Duration) ([]feed.Row, error) {
	if _, found := f.gateway.currentRelay(f.gateway.config.Clock()); !found || !f.useRelay || f.bypassRelay {
		wait = 0
	}
	return f.fetch(ctx, wait)
}

// fetch reads changes from the relay or the store, applies them to the copy and
// returns them.
func (f *tableFollower) fetch(ctx context.Context, wait time.Duration) ([]feed.Row, error) {
	now := f.gateway.config.Clock()
	if peer, awaits := f.awaitsRelay(now); awaits {
		return f.awaitRelay(ctx, peer)
	}
	peer, useRelay := f.gateway.currentRelay(now)
	if useRelay && f.useRelay && !f.bypassRelay {
		if !f.mirror.Loaded() || f.historyLost {
			wait = 0
		}
		storeTimeBefore := f.mirror.StoreTime()
		changed, err := f.fetchFromRelay(ctx, peer, wait)
		if ctx.Err() != nil {
			return changed, err
		}
		if err == nil {
			if len(changed) > 0 || f.mirror.StoreTime() > storeTimeBefore || mayAwaitRelay(f.gateway.config.Clock(), f.mirror.VerifiedAt(), 1) {
				return changed, nil
			}
			// The relay repeats an old answer. The leases of this instance are about to end.
			return f.readStore(ctx, 0)
		}
		if f.loadStartedAt.IsZero() {
			f.loadStartedAt = now
		}
		since := later(f.mirror.VerifiedAt(), f.loadStartedAt)
		if delay, mayAwait := loadRetryDelay(f.gateway.config.Clock(), since, err); mayAwait {
			return nil, &relay.Error{Err: err, Kind: relay.KindRefused, Op: "load", RetryAfter: delay}
		}
		if !f.mirror.Loaded() && busyRelayDelay(err) == 0 && f.loadRefusals < maxLoadRefusals && (isRelayRefusal(err) || f.awaitsNewSecret(err)) {
			f.loadRefusals++
			return nil, err
		}
		if !f.isInterrupted() {
			f.gateway.recordRelayLost(f.gateway.config.Clock(), peer, err)
		}
		// The last verification is old by now.
		wait = 0
	}
	if f.useRelay {
		wait = min(wait, relayLongPollWait)
	}
	return f.readStore(ctx, wait)
}

// readStore is fetchFromStore, after whose failure the copy is not relayed.
func (f *tableFollower) readStore(ctx context.Context, wait time.Duration) ([]feed.Row, error) {
	changed, err := f.fetchFromStore(ctx, wait)
	if err != nil {
		f.markStoreFailed()
	}
	return changed, err
}

// awaitsNewSecret reports whether the relay failed because it has restarted, and its row,
// which the membership controller reads, is about to show its new secret.
func (f *tableFollower) awaitsNewSecret(err error) bool {
	f.gateway.mu.Lock()
	defer f.gateway.mu.Unlock()
	var relayErr *relay.Error
	return f.gateway.members.liveCount() > maxDirectReaders &&
		errors.As(err, &relayErr) && relayErr.Kind == relay.KindUnauthorized
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitRelay asks the relay for a newer response than this copy has. Without one it
// returns the error that the store's history is lost.
func (f *tableFollower) awaitRelay(ctx context.Context, peer relayPeer) ([]feed.Row, error) {
	storeTimeBefore := f.mirror.StoreTime()
	changed, err := f.fetchFromRelay(ctx, peer, 0)
	if err != nil || (len(changed) == 0 && f.mirror.StoreTime() <= storeTimeBefore) {
		return nil, &Error{Err: err, Kind: KindHistory, Op: "await relay"}
	}
	f.historyLost = false
	f.gateway.recordRelayRecovered(peer)
	return changed, nil
}

// fetchFromStore reads changes from the store and applies them. It reads the whole
// table if there is no copy yet, or if the store no longer has the changes.
func (f *tableFollower) fetchFromStore(ctx context.Context, wait time.Duration) ([]feed.Row, error) {
	clock := f.gateway.config.Clock
	var snapshot feed.Snapshot
	var err error
	sent := clock()
	if f.mirror.Loaded() {
		callCtx, cancel := f.interruptibleContext(ctx, wait+longPollGrace)
		snapshot, err = f.gateway.config.Store.Changes(callCtx, f.table, f.mirror.Revision(), wait)
		cancel()
		if isHistoryLost(err) {
			f.recordHistoryLost()
			if _, awaits := f.awaitsRelay(clock()); awaits {
				return nil, err
			}
			sent = clock()
			snapshot, err = f.readTable(ctx)
		}
	} else {
		snapshot, err = f.readTable(ctx)
	}
	if err != nil {
		return nil, err
	}
	f.gateway.mu.Lock()
	verifiedAt := f.gateway.storeClock.Observe(sent, clock(), snapshot.StoreTime)
	f.gateway.mu.Unlock()
	f.historyLost = false
	return f.apply(snapshot, verifiedAt, true), nil
}

// recordHistoryLost records that the store no longer has the changes that this copy lacks.
func (f *tableFollower) recordHistoryLost() {
	if f.historyLost {
		return
	}
	f.gateway.mu.Lock()
	f.historyLost, f.historyWaitFraction = true, f.gateway.random.Float64()
	f.gateway.mu.Unlock()
}

// readTable reads the whole table from the store.
func (f *tableFollower) readTable(ctx context.Context) (feed.Snapshot, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.gateway.config.Store.Read(readCtx, f.table, f.partitions)
}

// logAvailability logs when calls for the table begin to fail, and when they succeed
// again. In the second case it also requests a write of this instance's row if that
// is overdue.
func (f *tableFollower) logAvailability(err error) {
	if (err != nil) == f.unavailable || isRelayRefusal(err) || isHistoryLost(err) {
		return
	}
	f.unavailable = err != nil
	if f.unavailable {
		f.gateway.config.Log.Record(event.StoreUnavailable, event.Fields{Text: string(f.table) + ": store call failed: " + err.Error()})
		return
	}
	f.gateway.config.Log.Record(event.StoreAvailable, event.Fields{Text: string(f.table)})
	f.gateway.requestOverdueHeartbeat()
}

// jitteredSleep waits for a random time between a half of maxDuration and the whole,
// so that instances do not call the store at the same moments. It reports false if
// the context was cancelled.
func (g *Gateway) jitteredSleep(ctx context.Context, maxDuration time.Duration) bool {
	g.mu.Lock()
	fraction := 0.5 + g.random.Float64()/2
	g.mu.Unlock()
	return sleep(ctx, time.Duration(float64(maxDuration)*fraction))
}
