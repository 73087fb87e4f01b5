package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
)

const (
	// answerSlack is added to the wait before a call counts as unanswered.
	answerSlack = 900 * time.Millisecond
	// readBound bounds a call that reads a whole table.
	readBound = 1500 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a call that failed.
	firstRetry = 80 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// maxRelayedRetry is maxRetry with a relay, which is asked each relayRetry
	// meanwhile: 72 instances that call a store which is down cost more than
	// all else on such a day.
	maxRelayedRetry = 2500 * time.Millisecond
	relayRetry      = 250 * time.Millisecond
)

// follower keeps a copy of one table and hands on what changes.
type follower struct {
	gateway *Gateway
	lost    bool
	mirror  *feed.Mirror

	// mu guards what other goroutines read: changes of the mirror, and the
	// fields below.
	mu sync.Mutex
	// advanced is closed with the next answer.
	advanced chan struct{}
	// cancel ends the call under way.
	cancel context.CancelFunc
	// fromStore is true if the last answer came from the store itself.
	fromStore   bool
	interrupted bool

	// partitions are those of the table that hold rows.
	partitions []Partition
	// relayed is true if the copy may come from another instance, and others may
	// ask for it.
	relayed bool
	table   Table
	// urgent is true while an answer of the store is needed at once.
	urgent bool
	wait   time.Duration
}

// newFollower returns a follower whose copy other instances can ask for.
func (g *Gateway) newFollower(table Table, wait time.Duration, partitions ...Partition) *follower {
	f := g.newOwnFollower(table, wait, partitions...)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followers[table] = f
	f.relayed = g.config.RelayClient != nil
	return f
}

// newOwnFollower returns a follower that always reads the store.
func (g *Gateway) newOwnFollower(table Table, wait time.Duration, partitions ...Partition) *follower {
	return &follower{advanced: make(chan struct{}), gateway: g, mirror: feed.NewMirror(), partitions: partitions, table: table, wait: wait}
}

// follow calls apply after each answer until the context ends. Changed is
// empty if the answer only proves that nothing has changed.
func (f *follower) follow(ctx context.Context, apply func(now time.Time, changed []feed.Row)) error {
	retry := time.Duration(0)
	for ctx.Err() == nil {
		wait := f.wait
		f.urgent = f.takeInterrupt() || f.lost
		if f.urgent {
			// The proof is old: an answer is needed now, not after a change.
			wait = 0
		}
		changed, err := f.next(ctx, wait)
		if err != nil && f.isInterrupted() {
			continue
		}
		if err != nil {
			f.note(err)
			var recovered bool
			retry = f.nextRetry(retry)
			if changed, recovered = f.awaitStore(ctx, retry); !recovered {
				continue
			}
		}
		f.note(nil)
		retry = 0
		apply(f.gateway.config.Clock(), changed)
	}
	return nil
}

// nextRetry returns the pause after a call that failed, from that before it. An
// instance with a relay hears from it when the store is back.
func (f *follower) nextRetry(before time.Duration) time.Duration {
	if _, found := f.gateway.relay(time.Time{}); f.relayed && found {
		return min(max(2*before, maxRetry), maxRelayedRetry)
	}
	return min(max(2*before, firstRetry), maxRetry)
}

// awaitStore waits until the store may be asked again. If the relay has a newer
// answer before that, it is taken in.
func (f *follower) awaitStore(ctx context.Context, span time.Duration) (changed []feed.Row, recovered bool) {
	began := f.gateway.config.Clock()
	for {
		left := span - f.gateway.config.Clock().Sub(began)
		if left <= 0 || !f.gateway.jitteredPause(ctx, min(left, relayRetry)) || f.isInterrupted() {
			return nil, false
		}
		peer, found := f.gateway.relay(time.Time{})
		if !found || !f.relayed || !f.mirror.Loaded() {
			continue
		}
		before := f.mirror.StoreTime()
		changed, err := f.nextFromRelay(ctx, peer, 0)
		if err == nil && f.mirror.StoreTime() > before {
			f.gateway.noteRelayBack(peer)
			return changed, true
		}
	}
}

// interrupt ends a call that waits for changes, and has the next one answered
// at once.
func (f *follower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupted = true
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *follower) isInterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.interrupted
}

// takeInterrupt reports whether there was an interruption, and ends it.
func (f *follower) takeInterrupt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	interrupted := f.interrupted
	f.interrupted = false
	return interrupted
}

// begin returns the context of a call that interrupt can end.
func (f *follower) begin(ctx context.Context, bound time.Duration) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, bound)
	f.cancel = cancel
	return bounded, cancel
}

// next takes the next answer in, from the relay or the store.
func (f *follower) next(ctx context.Context, wait time.Duration) ([]feed.Row, error) {
	now := f.gateway.config.Clock()
	peer, relayed := f.gateway.relay(now)
	if relayed && f.relayed && f.mirror.Loaded() && !f.urgent {
		changed, err := f.nextFromRelay(ctx, peer, wait)
		if err == nil || ctx.Err() != nil {
			return changed, err
		}
		if !f.isInterrupted() {
			f.gateway.noteRelayLost(f.gateway.config.Clock(), peer, err)
		}
		// The proof is old by now.
		wait = 0
	}
	if f.relayed {
		wait = min(wait, relayWait)
	}
	changed, err := f.nextFromStore(ctx, wait)
	if err != nil {
		f.fail()
	}
	return changed, err
}

// nextFromStore makes one call to the store.
func (f *follower) nextFromStore(ctx context.Context, wait time.Duration) ([]feed.Row, error) {
	clock := f.gateway.config.Clock
	var snapshot feed.Snapshot
	var err error
	sent := clock()
	if f.mirror.Loaded() {
		bounded, cancel := f.begin(ctx, wait+answerSlack)
		snapshot, err = f.gateway.config.Store.Changes(bounded, f.table, f.mirror.Revision(), wait)
		cancel()
		var known *Error
		if errors.As(err, &known) && known.Kind == KindHistory {
			sent = clock()
			snapshot, err = f.read(ctx)
		}
	} else {
		snapshot, err = f.read(ctx)
	}
	if err != nil {
		return nil, err
	}
	f.gateway.mu.Lock()
	proof := f.gateway.storeClock.Observe(sent, clock(), snapshot.StoreTime)
	f.gateway.mu.Unlock()
	return f.apply(snapshot, proof, true), nil
}

func (f *follower) read(ctx context.Context) (feed.Snapshot, error) {
	bounded, cancel := context.WithTimeout(ctx, readBound)
	defer cancel()
	return f.gateway.config.Store.Read(bounded, f.table, f.partitions)
}

// note logs when the store is lost and when it is back.
func (f *follower) note(err error) {
	if (err != nil) == f.lost {
		return
	}
	f.lost = err != nil
	if f.lost {
		f.gateway.config.Log.Record(event.StoreUnavailable, event.Fields{Text: string(f.table) + ": " + err.Error()})
		return
	}
	f.gateway.config.Log.Record(event.StoreAvailable, event.Fields{Text: string(f.table)})
	f.gateway.wakeIfDue()
}

// jitteredPause waits for a span between a half and the whole one, so that
// instances do not call in step.
func (g *Gateway) jitteredPause(ctx context.Context, span time.Duration) bool {
	g.mu.Lock()
	part := 0.5 + g.random.Float64()/2
	g.mu.Unlock()
	return pause(ctx, time.Duration(float64(span)*part))
}
