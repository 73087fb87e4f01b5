package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/relay"
)

const (
	// relayLongPollWait is the long-poll wait at the store for the tables that are
	// relayed. Each response also verifies the copies of the other instances, so it
	// is shorter than for an instance that reads only for itself.
	relayLongPollWait = 1500 * time.Millisecond
	// relayGrace is added to relayLongPollWait for the timeout of a long poll at
	// the relay. After it an instance calls the store, while its leases are still
	// valid for more than 2 s.
	relayGrace = 500 * time.Millisecond
	// maxMemberWait is how long a request for the instances' rows waits for a newer
	// response of the store. It is shorter than the caller's timeout of
	// startupPollInterval plus relayGrace, so that a slow store does not make the callers
	// take the relay as lost and all read the store.
	maxMemberWait = 700 * time.Millisecond
	// relayLoadTimeout is the timeout of a request for a whole table. When all instances
	// start together, the relay sends it to each of them at the same time.
	relayLoadTimeout = 2 * time.Second
	// maxLoadWait is how long an instance that starts asks a relay that is sending whole
	// tables to others. It leaves time to read the store and to serve within 4 s.
	maxLoadWait = 2500 * time.Millisecond
	// relayPollTimeout is the timeout of a request that the relay serves without
	// waiting for a change.
	relayPollTimeout = 300 * time.Millisecond
	// relayWriteTimeout is the timeout of a write through the relay. After it there is
	// time to write the row directly before the lease of 4.5 s ends.
	relayWriteTimeout = 1100 * time.Millisecond
	// relayBackoff is how long an instance reads the store itself after its relay
	// failed. It is shorter than the time until the other instances see that an
	// instance is gone.
	relayBackoff = 3 * time.Second
	// relayRefusalBackoff replaces relayBackoff after a response that the relay can't
	// serve the table now.
	relayRefusalBackoff = 400 * time.Millisecond
	// maxLoadRefusals is how often an instance without a copy of a table asks the relay
	// again that can't serve it, before it reads the store. The relay may just have
	// started too.
	maxLoadRefusals = 4
	// maxHistoryWait is how old the last verification of a copy may become while its
	// instance waits for the relay to read the table that the store has lost the history
	// of. It leaves 1.5 s of the leases to read the table from the store.
	maxHistoryWait = 3 * time.Second
	// relayStartSpread and relayMinAge say when an instance may be a relay: if it has
	// started together with the first ones, or long enough ago to have read the tables.
	relayStartSpread = 3 * time.Second
	relayMinAge      = 5 * time.Second
	// minLocalRelayGroup is the minimum number of instances in a data centre for
	// which it has a relay of its own. With fewer, all data centres are considered.
	minLocalRelayGroup = 4
)

// RelayClient fetches table changes that another instance has read from the store.
type RelayClient interface {
	// Changes requests changes from the instance at an address. The secret is that
	// of the called instance. The function known returns the version of a row that
	// this instance has.
	Changes(ctx context.Context, address string, secret []byte, request relay.Request, known func(key string) feed.RowVersion) (feed.Snapshot, error)
	// WriteRow writes a row of this instance through the instance at an address.
	WriteRow(ctx context.Context, address string, secret []byte, write relay.RowWrite) (relay.RowWriteResult, error)
}

var _ relay.Source = &Gateway{}

// relayPeer is the instance that relays the store's tables to this one.
type relayPeer struct {
	address  string
	instance fleet.InstanceID
	secret   []byte
}

// ReadChanges serves a request of another instance for the changes that this one has
// read from the store. If request.Wait is set, it waits for a response of the store
// that is newer than request.StoreTime, but for the instances' rows not longer than
// maxMemberWait.
func (g *Gateway) ReadChanges(ctx context.Context, request relay.Request) (feed.Snapshot, error) {
	g.mu.Lock()
	f := g.followers[Table(request.Table)]
	g.mu.Unlock()
	if f == nil {
		return feed.Snapshot{}, &Error{Err: errors.New("the table is not followed"), Kind: KindInvalid, Op: "relay"}
	}
	var waitEnds <-chan time.Time
	if f.table == memberTable {
		timer := time.NewTimer(maxMemberWait)
		defer timer.Stop()
		waitEnds = timer.C
	}
	for {
		snapshot, nextResponse, err := f.relaySnapshot(request.After)
		if err != nil || snapshot.StoreTime > request.StoreTime || !request.Wait {
			return snapshot, err
		}
		if f.table == memberTable {
			g.requestMemberRead()
		}
		select {
		case <-nextResponse:
		case <-waitEnds:
			return snapshot, nil
		case <-ctx.Done():
			return feed.Snapshot{}, &Error{Err: ctx.Err(), Kind: KindNotDone, Op: "relay"}
		}
	}
}

// requestMemberRead tells the membership controller that another instance waits for a
// read of the instances' rows.
func (g *Gateway) requestMemberRead() {
	select {
	case g.memberReadRequests <- struct{}{}:
	default:
	}
}

// relaySnapshot returns the changes since a revision, and a channel that is closed at
// the next response or failure. It fails unless the last response came from the
// store itself.
func (f *tableFollower) relaySnapshot(after feed.Revision) (feed.Snapshot, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fromStore || !f.mirror.Loaded() {
		return feed.Snapshot{}, nil, &Error{Err: errors.New("this instance does not read from the store now"), Kind: KindNotDone, Op: "relay"}
	}
	return f.mirror.ChangesSince(after), f.nextResponse, nil
}

// currentRelay returns the instance from which this one reads the tables. It reports
// false if this one must read the store itself: because it is the relay, or because its
// relay failed recently. If now is zero, a relay that failed recently is returned as well.
func (g *Gateway) currentRelay(now time.Time) (peer relayPeer, found bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.RelayClient == nil {
		return relayPeer{}, false
	}
	relayID := g.members.relayFor(g.config.Settings.DataCentre)
	if relayID == g.members.self || (!now.IsZero() && now.Before(g.relayBackoffUntil[relayID])) {
		return relayPeer{}, false
	}
	row := g.members.members[relayID].row
	return relayPeer{address: row.Address, instance: relayID, secret: row.Secret}, true
}

// relayFor returns the relay for the instances in a data centre. All of them choose
// the same one, by rendezvous hashing over the same rows.
func (v *memberView) relayFor(dataCentre fleet.DataCentre) fleet.InstanceID {
	candidates := owner.Large(v.relayCandidates(dataCentre), 1)
	instances := make([]fleet.InstanceID, len(candidates))
	for i, candidate := range candidates {
		instances[i] = candidate.Instance
	}
	return fleet.Owners("relay", instances, 1)[0]
}

// relayCandidates returns the instances of which one relays to those in a data centre:
// the live ones there, or in all data centres if there are few. Instances that have
// started much later than others are left out, because they have not read the tables
// yet. This instance is one if there is no other.
func (v *memberView) relayCandidates(dataCentre fleet.DataCentre) []owner.Candidate {
	earliest := v.verifiedStoreTime
	for _, row := range v.otherLive() {
		earliest = min(earliest, row.Since)
	}
	startedLater := func(since time.Duration) bool {
		return since-earliest >= relayStartSpread && v.verifiedStoreTime-since < relayMinAge
	}
	var local, all []owner.Candidate
	for id, row := range v.otherLive() {
		if startedLater(row.Since) || row.Address == "" || row.Draining {
			continue
		}
		candidate := owner.Candidate{DataCentre: row.DataCentre, Instance: id, LinkMegabits: row.LinkMegabits, ProcessorShare: row.ProcessorShare}
		all = append(all, candidate)
		if row.DataCentre == dataCentre {
			local = append(local, candidate)
		}
	}
	if own := (owner.Candidate{DataCentre: dataCentre, Instance: v.self, LinkMegabits: v.linkMegabits, ProcessorShare: v.processorShare}); len(all) == 0 || (v.rowSince != 0 && !startedLater(v.rowSince)) {
		local, all = append(local, own), append(all, own)
	}
	if len(local) < minLocalRelayGroup {
		return all
	}
	return local
}

// recordRelayLost makes this instance read the store itself for relayBackoff because
// its relay failed.
func (g *Gateway) recordRelayLost(now time.Time, peer relayPeer, err error) {
	g.mu.Lock()
	alreadyLost := now.Before(g.relayBackoffUntil[peer.instance])
	backoff := relayBackoff
	if isRelayRefusal(err) {
		backoff = relayRefusalBackoff
	}
	g.relayBackoffUntil[peer.instance] = now.Add(backoff)
	g.mu.Unlock()
	if !alreadyLost {
		g.config.Log.Record(event.RelayLost, event.Fields{Text: string(peer.instance) + ": relay request failed: " + err.Error()})
	}
}

// mayAwaitRelay reports whether an instance that needs a whole table, because the store
// has lost its history, leaves the read to the relay for now. The fraction, between 0 and
// 1, spreads the instances over the last half second, in case the relay stays away.
func mayAwaitRelay(now, verifiedAt time.Time, fraction float64) bool {
	const spread = 500 * time.Millisecond
	return now.Sub(verifiedAt) < maxHistoryWait-time.Duration(fraction*float64(spread))
}

// awaitsRelay reports whether this instance waits for its relay to read the table that
// the store has lost the history of, and returns the relay.
func (f *tableFollower) awaitsRelay(now time.Time) (peer relayPeer, awaits bool) {
	peer, found := f.gateway.currentRelay(time.Time{})
	if !f.historyLost || !f.useRelay || !found || !f.mirror.Loaded() {
		return relayPeer{}, false
	}
	return peer, mayAwaitRelay(now, f.mirror.VerifiedAt(), f.historyWaitFraction)
}

// relayRetryDelay returns after which time a relay that refused a request may be asked
// again, and whether it may.
func relayRetryDelay(err error) (delay time.Duration, mayRetry bool) {
	if isHistoryLost(err) {
		// What is left of the leases is shorter than the time that a relay may name.
		return relayPollInterval, true
	}
	if delay := busyRelayDelay(err); delay > 0 {
		return delay, true
	}
	return relayPollInterval, isRelayRefusal(err)
}

// loadRetryDelay returns after which time an instance that the relay told to ask again for
// a whole table does so. It reports false if the instance reads the store instead, because
// it started to load the table, or last verified its copy, maxLoadWait ago.
func loadRetryDelay(now, since time.Time, err error) (delay time.Duration, mayAwait bool) {
	retryAfter, remaining := busyRelayDelay(err), maxLoadWait-now.Sub(since)
	return max(min(retryAfter, remaining), relayPollInterval), retryAfter > 0 && remaining > 0
}

// isHistoryLost reports whether the store no longer has the requested changes.
func isHistoryLost(err error) bool {
	var storeErr *Error
	return errors.As(err, &storeErr) && storeErr.Kind == KindHistory
}

// isRelayRefusal reports whether the relay answered that it can't serve the request.
func isRelayRefusal(err error) bool {
	var relayErr *relay.Error
	return errors.As(err, &relayErr) && relayErr.Kind == relay.KindRefused
}

// busyRelayDelay returns after which time the relay told this instance to ask again, or
// zero.
func busyRelayDelay(err error) time.Duration {
	var relayErr *relay.Error
	if !errors.As(err, &relayErr) {
		return 0
	}
	return max(0, relayErr.RetryAfter)
}

// recordRelayRecovered makes this instance read from its relay again.
func (g *Gateway) recordRelayRecovered(peer relayPeer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.relayBackoffUntil, peer.instance)
}

// fetchFromRelay sends one request to the relay and applies the response. If wait is
// not zero, the request is a long poll, with a timeout of wait or relayLongPollWait,
// whichever is shorter, plus relayGrace.
func (f *tableFollower) fetchFromRelay(ctx context.Context, peer relayPeer, wait time.Duration) ([]feed.Row, error) {
	timeout := relayPollTimeout
	if !f.mirror.Loaded() {
		timeout = relayLoadTimeout
	}
	if wait > 0 {
		timeout = min(wait, relayLongPollWait) + relayGrace
	}
	callCtx, cancel := f.interruptibleContext(ctx, timeout)
	defer cancel()
	snapshot, err := f.gateway.config.RelayClient.Changes(callCtx, peer.address, peer.secret, relay.Request{
		After: f.mirror.Revision(), StoreTime: f.mirror.StoreTime(), Table: string(f.table), Wait: wait > 0,
	}, f.mirror.Version)
	countRelayCall(err)
	if err != nil {
		return nil, err
	}
	f.gateway.mu.Lock()
	verifiedAt, calibrated := f.gateway.storeClock.LocalTime(f.gateway.config.Clock(), snapshot.StoreTime)
	f.gateway.mu.Unlock()
	if !calibrated {
		return nil, &Error{Err: errors.New("the store's clock is not known"), Kind: KindInvalid, Op: "relay"}
	}
	return f.apply(snapshot, verifiedAt, false), nil
}

// apply applies a response to the local copy, which shows the table as of verifiedAt
// or later, and returns the changed rows.
func (f *tableFollower) apply(snapshot feed.Snapshot, verifiedAt time.Time, fromStore bool) []feed.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.mirror.Apply(snapshot, verifiedAt)
	f.notifyWaiters(fromStore)
	return changed
}

// markStoreFailed records that a call to the store failed, so that the copy is not
// relayed until the next response from the store.
func (f *tableFollower) markStoreFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyWaiters(false)
}

// notifyWaiters wakes the requests that wait for the next response. The caller holds
// f.mu.
func (f *tableFollower) notifyWaiters(fromStore bool) {
	f.fromStore = fromStore
	close(f.nextResponse)
	f.nextResponse = make(chan struct{})
}
