package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/standin"
)

// writePause is the pause between the writes of a steady writer.
const writePause = 10 * time.Millisecond

// writeState is what the client knows of a write.
type writeState string

// States of a write.
const (
	writeAcknowledged writeState = "Acknowledged"
	writeNotRun       writeState = "NotRun"
	writeUnknown      writeState = "Unknown"
)

// write is one write with its end.
type write struct {
	at    time.Time
	id    int64
	state writeState
}

// writer is a client of one workspace that writes one row after the other.
type writer struct {
	group   *standin.Group
	session *session

	mu     sync.Mutex
	codes  map[string]int64
	writes []write
}

func (w *writer) run(ctx context.Context, stop <-chan struct{}) {
	defer w.session.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			return
		default:
		}
		w.write(ctx)
		if pause(ctx, writePause) != nil {
			return
		}
	}
}

// write writes a row with a new id. A write that failed is not repeated, so
// that a doubled row can only come from the proxy.
func (w *writer) write(ctx context.Context) {
	id := w.session.world.lastID.Add(1)
	_, err := w.session.exec(ctx, insertSQL(id, w.session.key.Workspace))
	done := write{at: time.Now(), id: id, state: writeAcknowledged}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.codes[codeOf(err)]++
		done.state = writeUnknown
		// A statement that failed on the server has left no row either.
		if outcome := outcomeOf(err); outcome == caller.OutcomeNotRun || outcome == caller.OutcomeFailed {
			done.state = writeNotRun
		}
	}
	w.writes = append(w.writes, done)
}

// firstAfter returns the first success after a time.
func (w *writer) firstAfter(at time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, write := range w.writes {
		if write.state == writeAcknowledged && write.at.After(at) {
			return write.at, true
		}
	}
	return time.Time{}, false
}

// longestGap returns the longest time between two successes that ends after a
// time.
func (w *writer) longestGap(after time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	longest := time.Duration(0)
	for _, write := range w.writes {
		if write.state != writeAcknowledged {
			continue
		}
		if !last.IsZero() && write.at.After(after) {
			longest = max(longest, write.at.Sub(last))
		}
		last = write.at
	}
	return longest
}

// writers are one steady writer for each workspace.
type writers struct {
	all    []*writer
	done   sync.WaitGroup
	stopCh chan struct{}
}

// startWriters starts a writer for each workspace, spread over the groups and
// the instances.
func startWriters(ctx context.Context, w *world, groups []*standin.Group) *writers {
	started := &writers{stopCh: make(chan struct{})}
	for number, key := range w.keys {
		target := groups[number%len(groups)]
		one := &writer{
			codes:   make(map[string]int64),
			group:   target,
			session: newSession(w, key, target.ID(), number, 0),
		}
		started.all = append(started.all, one)
		started.done.Go(func() { one.run(ctx, started.stopCh) })
	}
	return started
}

// awaitSuccess waits until each writer had a success after a time.
func (w *writers) awaitSuccess(ctx context.Context, after time.Time) error {
	for _, one := range w.all {
		for {
			if _, ok := one.firstAfter(after); ok {
				break
			}
			if err := pause(ctx, pollPause); err != nil {
				return fmt.Errorf("workspace %s has no successful write: %w", one.session.key.Workspace, err)
			}
		}
	}
	return nil
}

// awaitAfterFault waits until each group has a new primary and each writer a
// success on it.
func (w *writers) awaitAfterFault(ctx context.Context, in *world, groups []*standin.Group, faultAt time.Time, promotion bool) error {
	after := faultAt
	for _, g := range groups {
		for promotion {
			if record, found := promotionAfter(in, g, faultAt); found {
				if record.PromotedAt.After(after) {
					after = record.PromotedAt
				}
				break
			}
			if err := pause(ctx, 10*pollPause); err != nil {
				return fmt.Errorf("group %s has no promotion: %w", g.ID(), err)
			}
		}
	}
	return w.awaitSuccess(ctx, after)
}

// stop ends the writers after their current write and waits for them.
func (w *writers) stop() {
	close(w.stopCh)
	w.done.Wait()
}
