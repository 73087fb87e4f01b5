package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/standin"
)

// writeInterval is the pause between two writes of a writer.
const writeInterval = 10 * time.Millisecond

// writeState is what the client knows about the effect of a write.
type writeState string

// States of a write.
const (
	writeAcknowledged writeState = "Acknowledged"
	writeNotRun       writeState = "NotRun"
	writeUnknown      writeState = "Unknown"
)

// write is one write and its result.
type write struct {
	// at is the time at which the answer or the error came.
	at time.Time
	// id is the id of the written row.
	id    int64
	state writeState
}

// writer is a client of one workspace that writes rows one after the other.
type writer struct {
	group   *standin.Group
	session *session

	mu           sync.Mutex
	errorsByCode map[string]int64
	writes       []write
}

// run writes rows until stop is closed or the context ends.
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
		if sleep(ctx, writeInterval) != nil {
			return
		}
	}
}

// write writes a row with a new id. A failed write is not retried, so that only the
// proxy can be the cause of a duplicate row.
func (w *writer) write(ctx context.Context) {
	id := w.session.testbed.lastID.Add(1)
	_, err := w.session.exec(ctx, insertSQL(id, w.session.key.Workspace))
	result := write{at: time.Now(), id: id, state: writeAcknowledged}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.errorsByCode[codeOf(err)]++
		result.state = writeUnknown
		// A statement that failed on the server did not write the row either.
		if outcome := outcomeOf(err); outcome == caller.OutcomeNotRun || outcome == caller.OutcomeFailed {
			result.state = writeNotRun
		}
	}
	w.writes = append(w.writes, result)
}

// firstSuccessAfter returns when the first successful write after the given time ended.
func (w *writer) firstSuccessAfter(at time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, write := range w.writes {
		if write.state == writeAcknowledged && write.at.After(at) {
			return write.at, true
		}
	}
	return time.Time{}, false
}

// longestGap returns the longest time between two successive successful writes, of which
// the second ended after the given time.
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

// writers holds one writer for each workspace.
type writers struct {
	all    []*writer
	wg     sync.WaitGroup
	stopCh chan struct{}
}

// startWriters starts a writer for each workspace, spread over the groups and
// the instances.
func startWriters(ctx context.Context, tb *testbed, groups []*standin.Group) *writers {
	set := &writers{stopCh: make(chan struct{})}
	for index, key := range tb.keys {
		target := groups[index%len(groups)]
		wr := &writer{
			errorsByCode: make(map[string]int64),
			group:        target,
			session:      newSession(tb, key, target.ID(), index, 0),
		}
		set.all = append(set.all, wr)
		set.wg.Go(func() { wr.run(ctx, set.stopCh) })
	}
	return set
}

// awaitSuccess waits until each writer has had a successful write after the given time.
func (w *writers) awaitSuccess(ctx context.Context, after time.Time) error {
	for _, wr := range w.all {
		for {
			if _, ok := wr.firstSuccessAfter(after); ok {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return fmt.Errorf("no write of workspace %s succeeded in time: %w", wr.session.key.Workspace, err)
			}
		}
	}
	return nil
}

// awaitRecovery waits until each writer has had a successful write after the fault. If
// promotion is true, it first waits until each group has a new primary, and counts only
// writes after the last promotion.
func (w *writers) awaitRecovery(ctx context.Context, tb *testbed, groups []*standin.Group, faultAt time.Time, promotion bool) error {
	after := faultAt
	for _, g := range groups {
		for promotion {
			if record, found := lastPromotionAfter(tb, g, faultAt); found {
				if record.PromotedAt.After(after) {
					after = record.PromotedAt
				}
				break
			}
			if err := sleep(ctx, 10*pollInterval); err != nil {
				return fmt.Errorf("no server of group %s was promoted after the fault: %w", g.ID(), err)
			}
		}
	}
	return w.awaitSuccess(ctx, after)
}

// stop makes the writers end after their current write and waits for them.
func (w *writers) stop() {
	close(w.stopCh)
	w.wg.Wait()
}
