package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// relayWait is how long the store holds a call of an instance that others
	// ask. Each answer is also their proof, so it comes more often than for an
	// instance that reads for itself.
	relayWait = 1500 * time.Millisecond
	// relaySlack is added to the wait before a relay counts as lost. An instance
	// then asks the store, while its leases still run for more than 2 s.
	relaySlack = 500 * time.Millisecond
	// relayLookBound bounds a request for what the relay has.
	relayLookBound = 300 * time.Millisecond
	// relaySkip is how long an instance reads for itself after its relay was
	// lost: less than until the others see that an instance is gone.
	relaySkip = 3 * time.Second
	// relayScope is the number of instances of a data centre from which it has
	// a relay of its own; fewer share one with the others.
	relayScope = 4
)

// RelayClient asks other instances for what they have read from the store.
type RelayClient interface {
	Changes(ctx context.Context, address string, secret []byte, request relay.Request) (feed.Snapshot, error)
}

var _ relay.Source = &Gateway{}

// relayPeer is the instance from which another one gets the tables.
type relayPeer struct {
	address  string
	instance fleet.InstanceID
	secret   []byte
}

// Relay returns what this instance has read of a table, for another one.
func (g *Gateway) ReadChanges(ctx context.Context, request relay.Request) (feed.Snapshot, error) {
	g.mu.Lock()
	f := g.followers[Table(request.Table)]
	g.mu.Unlock()
	if f == nil {
		return feed.Snapshot{}, &Error{Err: errors.New("the table is not followed"), Kind: KindInvalid, Op: "relay"}
	}
	for {
		snapshot, advanced, err := f.relayable(request.After)
		if err != nil || snapshot.StoreTime > request.StoreTime || !request.Wait {
			return snapshot, err
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return feed.Snapshot{}, &Error{Err: ctx.Err(), Kind: KindNotDone, Op: "relay"}
		}
	}
}

// relayable returns the changes since a revision, and a channel that is closed
// with the next answer of the store.
func (f *follower) relayable(after feed.Revision) (feed.Snapshot, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fromStore {
		return feed.Snapshot{}, nil, &Error{Err: errors.New("this instance does not read from the store now"), Kind: KindNotDone, Op: "relay"}
	}
	return f.mirror.ChangesSince(after), f.advanced, nil
}

// relay returns the instance from which this one gets the tables. It reports
// false if this one reads the store: because it is the relay, because its relay
// was lost, or because it must see its own row there. At the zero time, a lost
// relay is returned as well.
func (g *Gateway) relay(now time.Time) (peer relayPeer, found bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.RelayClient == nil || g.members.participation.NeedsFreshRead() {
		return relayPeer{}, false
	}
	first := g.members.relayOf(g.config.Settings.DataCentre)
	if first == g.members.self || (!now.IsZero() && now.Before(g.relaySkipUntil[first])) {
		return relayPeer{}, false
	}
	row := g.members.members[first].row
	return relayPeer{address: row.Address, instance: first, secret: row.Secret}, true
}

// relayOf returns the relay of the instances in a data centre. All of them
// choose the same one from the same rows.
func (v *memberView) relayOf(dataCentre fleet.DataCentre) fleet.InstanceID {
	near, all := []fleet.InstanceID{v.self}, []fleet.InstanceID{v.self}
	for id, row := range v.others() {
		if row.Phase != workspace.PhaseHolding || row.Address == "" {
			continue
		}
		all = append(all, id)
		if row.DataCentre == dataCentre {
			near = append(near, id)
		}
	}
	if len(near) < relayScope {
		near = all
	}
	return fleet.Owners("relay", near, 1)[0]
}

// noteRelayLost has this instance read for itself for a while.
func (g *Gateway) noteRelayLost(now time.Time, peer relayPeer, err error) {
	g.mu.Lock()
	known := now.Before(g.relaySkipUntil[peer.instance])
	g.relaySkipUntil[peer.instance] = now.Add(relaySkip)
	g.mu.Unlock()
	if !known {
		g.config.Log.Record(event.RelayLost, event.Fields{Text: string(peer.instance) + ": " + err.Error()})
	}
}

// noteRelayBack has this instance read from its relay again.
func (g *Gateway) noteRelayBack(peer relayPeer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.relaySkipUntil, peer.instance)
}

// nextFromRelay asks the relay once.
func (f *follower) nextFromRelay(ctx context.Context, peer relayPeer, wait time.Duration) ([]feed.Row, error) {
	bound := relayLookBound
	if wait > 0 {
		bound = relayWait + relaySlack
	}
	bounded, cancel := f.begin(ctx, bound)
	defer cancel()
	snapshot, err := f.gateway.config.RelayClient.Changes(bounded, peer.address, peer.secret, relay.Request{
		After: f.mirror.Revision(), StoreTime: f.mirror.StoreTime(), Table: string(f.table), Wait: wait > 0,
	})
	countRelayCall(err)
	if err != nil {
		return nil, err
	}
	f.gateway.mu.Lock()
	proof, calibrated := f.gateway.storeClock.LocalTime(f.gateway.config.Clock(), snapshot.StoreTime)
	f.gateway.mu.Unlock()
	if !calibrated {
		return nil, &Error{Err: errors.New("the store's clock is not known"), Kind: KindInvalid, Op: "relay"}
	}
	return f.apply(snapshot, proof, false), nil
}

// apply takes an answer in.
func (f *follower) apply(snapshot feed.Snapshot, proof time.Time, fromStore bool) []feed.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.mirror.Apply(snapshot, proof)
	f.advance(fromStore)
	return changed
}

// fail notes that the store gave no answer.
func (f *follower) fail() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(false)
}

// advance wakes those who wait for the next answer. The caller holds f.mu.
func (f *follower) advance(fromStore bool) {
	f.fromStore = fromStore
	close(f.advanced)
	f.advanced = make(chan struct{})
}
