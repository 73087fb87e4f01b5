package relay_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/relay"
)

// modelFault is a deliberate fault of the model.
type modelFault string

const (
	noFault modelFault = ""
	// faultRepeat is a relay that repeats old rows with the time of its last read.
	faultRepeat modelFault = "relay repeats old rows"
	// faultDeletions is a relay that forgets deletions when the store loses its history.
	faultDeletions modelFault = "relay forgets deletions"
	// faultShortLease is a reader that counts the lease of an instance too short.
	faultShortLease modelFault = "lease counted too short"
	// faultLongLease is a reader that counts the age of a row from its own last read.
	faultLongLease modelFault = "lease counted from the read"
)

// modelStore is the store's table of the instances' rows.
type modelStore struct {
	compacted feed.Revision
	history   []feed.Row
	revision  feed.Revision
	rows      map[string]feed.Row
}

func (s *modelStore) write(row feed.Row) {
	s.revision++
	row.Revision = s.revision
	s.history = append(s.history, row)
	if s.rows[row.Key] = row; row.Deleted {
		delete(s.rows, row.Key)
	}
}

// read returns the changes after a revision, or all rows if the history is lost.
func (s *modelStore) read(after feed.Revision, now time.Duration) feed.Snapshot {
	snapshot := feed.Snapshot{Complete: after < s.compacted || after == 0, Revision: s.revision, StoreTime: now}
	if snapshot.Complete {
		snapshot.Rows = slices.Collect(maps.Values(s.rows))
		return snapshot
	}
	newest := map[string]feed.Row{}
	for _, row := range s.history {
		if row.Revision > after {
			newest[row.Key] = row
		}
	}
	snapshot.Rows = slices.Collect(maps.Values(newest))
	return snapshot
}

// modelRelay is a relay whose answers may have faults.
type modelRelay struct {
	mirrorSource
	client *handlerClient
	fault  modelFault
}

func newModelRelay(fault modelFault) *modelRelay {
	r := &modelRelay{fault: fault, mirrorSource: mirrorSource{mirror: feed.NewMirror()}}
	r.client = newHandlerClient(r, 1000)
	return r
}

func (r *modelRelay) ReadChanges(_ context.Context, request relay.Request) (feed.Snapshot, error) {
	if !r.mirror.Loaded() {
		return feed.Snapshot{}, errors.New("not loaded")
	}
	snapshot := r.mirror.ChangesSince(request.After)
	switch r.fault {
	case faultRepeat:
		if request.After != 0 {
			snapshot.Rows = nil
		}
	case faultDeletions:
		snapshot.Rows = slices.DeleteFunc(snapshot.Rows, func(row feed.Row) bool { return row.Deleted })
	}
	return snapshot, nil
}

// runModel plays instances that write their rows, two relays of one data centre that read
// the store at different times and lose its history, and readers that ask either relay or
// the store. Answers arrive late and out of order. It returns the first violation.
func runModel(seed uint64, fault modelFault) error {
	const instances, readers, steps = 5, 3, 250
	random := rand.New(rand.NewPCG(seed, 1))
	store := &modelStore{revision: 1, rows: map[string]feed.Row{}, compacted: 1}
	relays := []*modelRelay{newModelRelay(fault), newModelRelay(fault)}
	copies := make([]*feed.Mirror, readers)
	for i := range copies {
		copies[i] = feed.NewMirror()
	}
	leaseEnds := make([]time.Duration, instances)
	states := map[feed.Revision]map[string]feed.Row{}
	now := time.Hour
	type answer struct {
		reader   int
		snapshot feed.Snapshot
	}
	var late []answer
	for range steps {
		now += time.Duration(random.IntN(300)) * time.Millisecond
		switch i := random.IntN(instances); random.IntN(8) {
		case 0, 1, 2:
			// A row is written up to a second after it was sent, if its instance still runs.
			sent := now - time.Duration(random.IntN(1000))*time.Millisecond
			if random.IntN(6) > 0 {
				store.write(feed.Row{Key: fmt.Sprintf("i-%d", i), Value: fmt.Appendf(nil, `{"At":%d,"Beat":%d,"Address":"10.0.0.%d"}`, sent.Truncate(time.Millisecond), random.IntN(99), i)})
				leaseEnds[i] = max(leaseEnds[i], sent+primacy.LeaseTime)
			} else if now > leaseEnds[i] {
				store.write(feed.Row{Key: fmt.Sprintf("i-%d", i), Deleted: true})
			}
		case 3:
			if random.IntN(3) == 0 {
				store.compacted = store.revision
			}
		case 4, 5:
			r := relays[random.IntN(len(relays))]
			r.mirror.Apply(store.read(r.mirror.Revision(), now), time.Time{})
		default:
			reader := random.IntN(readers)
			copied := copies[reader]
			snapshot, err := relay.NewClient(relays[random.IntN(len(relays))].client).Changes(context.Background(), "relay", []byte("secret"), relay.Request{After: copied.Revision(), Table: "t"}, copied.Version)
			if random.IntN(10) == 0 {
				snapshot, err = store.read(copied.Revision(), now), nil
			}
			if err != nil {
				continue
			}
			late = append(late, answer{reader: reader, snapshot: snapshot})
		}
		states[store.revision] = maps.Clone(store.rows)
		if len(late) > 0 && random.IntN(2) == 0 {
			next := random.IntN(len(late))
			copied := copies[late[next].reader]
			// An instance has one request at a time, so that an answer that is not applied
			// at once is dropped, except that it may be repeated.
			copied.Apply(late[next].snapshot, time.Time{})
			if random.IntN(2) == 0 {
				late = slices.Delete(late, next, next+1)
			}
			if err := checkCopy(copied, states[copied.Revision()], fault); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkCopy checks that a copy has the rows of its revision, and that no instance with a
// valid lease counts as dead, nor one as alive whose lease had ended by the time of the copy.
func checkCopy(copied *feed.Mirror, want map[string]feed.Row, fault modelFault) error {
	if !copied.Loaded() {
		return nil
	}
	for key, row := range want {
		if got, found := copied.Row(key); !found || string(got.Value) != string(row.Value) {
			return fmt.Errorf("row %s is %q, want %q", key, got.Value, row.Value)
		}
	}
	for key := range copied.Rows() {
		if _, found := want[key]; !found {
			return fmt.Errorf("row %s was deleted", key)
		}
	}
	for key, row := range want {
		var at time.Duration
		if _, err := fmt.Sscanf(string(row.Value), `{"At":%d`, &at); err != nil {
			return err
		}
		age := copied.StoreTime() - at
		switch fault {
		case faultShortLease:
			age += 2 * time.Second
		case faultLongLease:
			age -= 2 * time.Second
		}
		alive := !primacy.IsLeaseExpired(age)
		ends := at + primacy.LeaseTime
		if !alive && copied.StoreTime() < ends {
			return fmt.Errorf("%s counts as dead at %v, its lease ends at %v", key, copied.StoreTime(), ends)
		}
		if alive && copied.StoreTime() > ends+primacy.LeaseMargin {
			return fmt.Errorf("%s counts as alive at %v, its lease ended at %v", key, copied.StoreTime(), ends)
		}
	}
	return nil
}

// TestRelayModel guards against an instance that counts as alive for longer than its own
// lease says, or as dead while it is valid, whatever relays repeat or delay.
func TestRelayModel(t *testing.T) {
	for seed := range uint64(150) {
		if err := runModel(seed, noFault); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestRelayModelFindsFaults guards against a model that finds nothing.
func TestRelayModelFindsFaults(t *testing.T) {
	for _, fault := range []modelFault{faultRepeat, faultDeletions, faultShortLease, faultLongLease} {
		found := error(nil)
		for seed := uint64(0); seed < 150 && found == nil; seed++ {
			found = runModel(seed, fault)
		}
		if found == nil {
			t.Errorf("%s: not found", fault)
		}
	}
}
