package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
)

const (
	// rowBatchWindow is how long a batch collects the rows of instances, unless it is full
	// before. It delays heartbeats, so that it is well below the time that is left of a
	// lease when it is renewed.
	rowBatchWindow = 700 * time.Millisecond
	// urgentBatchWindow replaces rowBatchWindow once a row in the batch is urgent. When
	// a primary is to be replaced, the rows of all instances become urgent together.
	urgentBatchWindow = 15 * time.Millisecond
	// maxRowsPerBatch is the maximum number of rows in a transaction. The store takes 100
	// entries, of which each row has two: its condition and its write.
	maxRowsPerBatch = 50
)

// errSuperseded is the error of a write that a later one of the same row has replaced.
var errSuperseded = errors.New("a later write replaced it")

// rowBatcher writes the rows of several instances in one transaction, so that the number
// of transactions doesn't grow with the number of instances. There is one transaction at
// a time for each partition. It is safe for concurrent use.
type rowBatcher struct {
	write func(ctx context.Context, writes []Write) (WriteResult, error)

	mu      sync.Mutex
	batches map[Partition]*rowBatch
}

// rowBatch holds the rows of a partition that are to be written next.
type rowBatch struct {
	pending []*pendingRow
	// urgent is signalled when an urgent row is added.
	urgent chan struct{}
	// full is signalled when there are enough rows for a whole transaction.
	full chan struct{}
}

// pendingRow is a row that is to be written.
type pendingRow struct {
	result chan rowResult
	urgent bool
	write  Write
}

// rowResult is the result for one row of a batch.
type rowResult struct {
	err    error
	result WriteResult
}

func newRowBatcher(write func(ctx context.Context, writes []Write) (WriteResult, error)) *rowBatcher {
	return &rowBatcher{batches: map[Partition]*rowBatch{}, write: write}
}

// Write adds a row to the next batch of its partition and waits for the result. If the
// context ends first, the row may still be written.
func (b *rowBatcher) Write(ctx context.Context, write Write, urgent bool) (WriteResult, error) {
	row := &pendingRow{result: make(chan rowResult, 1), urgent: urgent, write: write}
	b.add(row)
	select {
	case result := <-row.result:
		return result.result, result.err
	case <-ctx.Done():
		return WriteResult{}, &Error{Err: ctx.Err(), Kind: KindUnknown, Op: "write row"}
	}
}

// add adds a row to the batch of its partition, and starts the batch if there is none. A
// row with the same key that has not been written yet is replaced.
func (b *rowBatcher) add(row *pendingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.batches[row.write.Partition]
	if batch == nil {
		batch = &rowBatch{full: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
		b.batches[row.write.Partition] = batch
		go b.run(row.write.Partition, batch)
	}
	for i, earlier := range batch.pending {
		if earlier.write.Key == row.write.Key {
			earlier.result <- rowResult{err: &Error{Err: errSuperseded, Kind: KindNotDone, Op: "write row"}}
			batch.pending = slices.Delete(batch.pending, i, i+1)
			break
		}
	}
	batch.pending = append(batch.pending, row)
	batch.signal()
}

// signal tells run whether the rows are to be written before the end of the window. The
// caller holds the batcher's mu.
func (b *rowBatch) signal() {
	if slices.ContainsFunc(b.pending, func(row *pendingRow) bool { return row.urgent }) {
		signal(b.urgent)
	}
	if len(b.pending) >= maxRowsPerBatch {
		signal(b.full)
	}
}

// signal sends to a channel with a buffer of one, unless a signal is pending.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// run writes the batches of a partition until there are no more rows.
func (b *rowBatcher) run(partition Partition, batch *rowBatch) {
	for {
		timer := time.NewTimer(rowBatchWindow)
		select {
		case <-timer.C:
		case <-batch.full:
		case <-batch.urgent:
			timer.Reset(urgentBatchWindow)
			select {
			case <-timer.C:
			case <-batch.full:
			}
		}
		timer.Stop()
		b.writeRows(b.take(batch))
		if b.endIfEmpty(partition, batch) {
			return
		}
	}
}

// take removes and returns the rows to write next.
func (b *rowBatcher) take(batch *rowBatch) []*pendingRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := min(len(batch.pending), maxRowsPerBatch)
	rows := slices.Clone(batch.pending[:count])
	batch.pending = slices.Delete(batch.pending, 0, count)
	for _, signalled := range []chan struct{}{batch.full, batch.urgent} {
		select {
		case <-signalled:
		default:
		}
	}
	batch.signal()
	return rows
}

// endIfEmpty removes a batch without rows. It reports whether it did.
func (b *rowBatcher) endIfEmpty(partition Partition, batch *rowBatch) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(batch.pending) > 0 {
		return false
	}
	delete(b.batches, partition)
	return true
}

// writeRows writes the rows in one transaction. Rows whose condition does not hold are
// taken out, and the others are written again.
func (b *rowBatcher) writeRows(rows []*pendingRow) {
	for len(rows) > 0 {
		writes := make([]Write, len(rows))
		for i, row := range rows {
			writes[i] = row.write
		}
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		result, err := b.write(ctx, writes)
		cancel()
		if err != nil || result.Applied {
			for _, row := range rows {
				row.result <- rowResult{err: err, result: result}
			}
			return
		}
		remaining := rejectConflicts(rows, result)
		if len(remaining) == len(rows) {
			// The response names no conflict, so that a repetition would not end.
			for _, row := range rows {
				row.result <- rowResult{err: &Error{Err: errors.New("the store rejected the batch without naming a conflict"), Kind: KindNotDone, Op: "write row"}}
			}
			return
		}
		rows = remaining
	}
}

// rejectConflicts delivers the result to the rows whose condition does not hold, and
// returns the others.
func rejectConflicts(rows []*pendingRow, result WriteResult) []*pendingRow {
	current := make(map[string]CurrentRow, len(result.Current))
	for _, row := range result.Current {
		current[row.Key] = row
	}
	return slices.DeleteFunc(slices.Clone(rows), func(row *pendingRow) bool {
		found, known := current[row.write.Key]
		if !known || found.Revision == row.write.Revision {
			return false
		}
		row.result <- rowResult{result: WriteResult{Current: []CurrentRow{found}}}
		return true
	})
}

// currentRow returns the current version of the first row with a condition.
func (r WriteResult) currentRow() feed.Row {
	if len(r.Current) == 0 {
		return feed.Row{}
	}
	return r.Current[0].Row
}
