package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/operator"
)

const (
	// snapshotInterval is the time between snapshots of the events. With nine
	// instances it causes less than one write a second to the object store.
	snapshotInterval = 10 * time.Second
	// maxSnapshotEvents is the number of events in a snapshot, the latest ones.
	maxSnapshotEvents = 2000
	// maxListedRuns is the number of runs for which the index row of an instance
	// lists a snapshot, the latest ones.
	maxListedRuns = 4
	// archivePrefix is the prefix of the keys of index rows and of object names.
	archivePrefix = "timeline/"
)

// archive saves snapshots of the events to the object store, because instances have
// no disk and their events are needed most after a crash. An index row for each
// instance lists the snapshots of its runs.
type archive struct {
	epoch    fleet.Epoch
	events   *event.Recorder
	instance fleet.InstanceID
	platform Platform
	timeout  time.Duration

	// indexed means that the index row lists this run.
	indexed bool
	// lastSaved is the stamp of the last event of the latest snapshot.
	lastSaved event.Stamp
}

var _ operator.Archive = &archive{}

// archiveIndex is the content of the index row of an instance.
type archiveIndex struct {
	// Epochs lists the runs that have a snapshot, oldest first.
	Epochs []fleet.Epoch
}

// run saves a snapshot at each interval until the context ends.
func (a *archive) run(ctx context.Context) error {
	for sleep(ctx, snapshotInterval) == nil {
		// A snapshot that fails is retried at the next interval.
		_ = a.saveSnapshot(ctx)
	}
	return nil
}

// saveSnapshot saves a snapshot if there are events since the last one.
func (a *archive) saveSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	events := a.events.Events(event.Filter{Limit: maxSnapshotEvents})
	if len(events) == 0 || events[len(events)-1].Stamp == a.lastSaved {
		return nil
	}
	snapshot, err := event.EncodeSnapshot(events)
	if err != nil {
		return err
	}
	if err := a.platform.Put(ctx, objectName(a.instance, a.epoch), snapshot); err != nil {
		return err
	}
	a.lastSaved = events[len(events)-1].Stamp
	if a.indexed {
		return nil
	}
	return a.index(ctx)
}

// index adds this run to the index row of the instance. No other run of the
// instance writes the row at this time, so a write whose answer is lost can simply
// be repeated with the next snapshot.
func (a *archive) index(ctx context.Context) error {
	key := archivePrefix + string(a.instance)
	rows, err := a.platform.Read(ctx, key)
	if err != nil {
		return err
	}
	var index archiveIndex
	condition := metastore.Condition{Key: key}
	if len(rows) > 0 {
		condition.Revision = rows[0].Revision
		if err := json.Unmarshal(rows[0].Value, &index); err != nil {
			return fmt.Errorf("decode index row %s: %w", key, err)
		}
	}
	if !slices.Contains(index.Epochs, a.epoch) {
		index.Epochs = append(index.Epochs, a.epoch)
	}
	index.Epochs = index.Epochs[max(0, len(index.Epochs)-maxListedRuns):]
	value, err := json.Marshal(index)
	if err != nil {
		return err
	}
	applied, _, err := a.platform.Write(ctx, []metastore.Condition{condition}, []metastore.Row{{Key: key, Value: value}})
	if err != nil {
		return err
	}
	if !applied {
		return errors.New("the index row was changed since it was read")
	}
	a.indexed = true
	return nil
}

// Archived returns the events of all listed snapshots that match the filter. Index
// rows and snapshots that are missing or damaged are skipped.
func (a *archive) Archived(ctx context.Context, filter event.Filter) ([]event.Event, error) {
	rows, err := a.platform.ReadPrefix(ctx, archivePrefix)
	if err != nil {
		return nil, err
	}
	var lists [][]event.Event
	for _, row := range rows {
		var index archiveIndex
		if err := json.Unmarshal(row.Value, &index); err != nil {
			continue
		}
		instance := fleet.InstanceID(row.Key[len(archivePrefix):])
		for _, epoch := range index.Epochs {
			events, err := a.loadSnapshot(ctx, instance, epoch)
			if err == nil {
				lists = append(lists, filter.Select(events))
			}
		}
	}
	return event.Merge(lists...), nil
}

// loadSnapshot reads the snapshot of one run of an instance.
func (a *archive) loadSnapshot(ctx context.Context, instance fleet.InstanceID, epoch fleet.Epoch) ([]event.Event, error) {
	snapshot, found, err := a.platform.Get(ctx, objectName(instance, epoch))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, errors.New("the snapshot object does not exist")
	}
	return event.DecodeSnapshot(snapshot)
}

// objectName returns the object name of the snapshot of one run.
func objectName(instance fleet.InstanceID, epoch fleet.Epoch) string {
	return archivePrefix + string(instance) + "/" + strconv.FormatUint(uint64(epoch), 10)
}
