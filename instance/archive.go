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
	// archivePeriod is the time between snapshots of the events. With nine
	// instances that is less than one write a second.
	archivePeriod = 10 * time.Second
	// archivedEvents bounds the events of a snapshot.
	archivedEvents = 2000
	// archivedRuns is the number of runs of an instance whose snapshots are listed.
	archivedRuns = 4
	// archivePrefix starts the keys of the index rows and the names of the objects.
	archivePrefix = "timeline/"
)

// archive keeps snapshots of the events in the object store, because instances
// have no disk and their events are wanted most after they have died.
type archive struct {
	epoch    fleet.Epoch
	events   *event.Recorder
	instance fleet.InstanceID
	platform Platform
	timeout  time.Duration

	indexed bool
	last    event.Stamp
}

var _ operator.Archive = &archive{}

// archiveIndex is the content of the index row of an instance.
type archiveIndex struct {
	// Epochs lists the runs that have a snapshot, oldest first.
	Epochs []fleet.Epoch
}

// run writes a snapshot in each period until the context ends.
func (a *archive) run(ctx context.Context) error {
	for pause(ctx, archivePeriod) == nil {
		// A failed snapshot is repeated in the next period.
		_ = a.save(ctx)
	}
	return nil
}

// save writes a snapshot, if there are events that the last one lacks.
func (a *archive) save(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	events := a.events.Events(event.Filter{Limit: archivedEvents})
	if len(events) == 0 || events[len(events)-1].Stamp == a.last {
		return nil
	}
	packed, err := event.EncodeSnapshot(events)
	if err != nil {
		return err
	}
	if err := a.platform.Put(ctx, archiveName(a.instance, a.epoch), packed); err != nil {
		return err
	}
	a.last = events[len(events)-1].Stamp
	if a.indexed {
		return nil
	}
	return a.index(ctx)
}

// index adds this run to the index row. Only this run writes the row now, so a
// lost answer is settled by the next attempt.
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
			return fmt.Errorf("row %s: %w", key, err)
		}
	}
	if !slices.Contains(index.Epochs, a.epoch) {
		index.Epochs = append(index.Epochs, a.epoch)
	}
	index.Epochs = index.Epochs[max(0, len(index.Epochs)-archivedRuns):]
	value, err := json.Marshal(index)
	if err != nil {
		return err
	}
	applied, _, err := a.platform.Write(ctx, []metastore.Condition{condition}, []metastore.Row{{Key: key, Value: value}})
	if err != nil {
		return err
	}
	if !applied {
		return errors.New("the index row has changed")
	}
	a.indexed = true
	return nil
}

// Archived returns the events of all snapshots that match the filter. A
// snapshot that is missing or damaged is left out.
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
			events, err := a.load(ctx, instance, epoch)
			if err == nil {
				lists = append(lists, filter.Select(events))
			}
		}
	}
	return event.Merge(lists...), nil
}

func (a *archive) load(ctx context.Context, instance fleet.InstanceID, epoch fleet.Epoch) ([]event.Event, error) {
	packed, found, err := a.platform.Get(ctx, archiveName(instance, epoch))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, errors.New("no such object")
	}
	return event.DecodeSnapshot(packed)
}

func archiveName(instance fleet.InstanceID, epoch fleet.Epoch) string {
	return archivePrefix + string(instance) + "/" + strconv.FormatUint(uint64(epoch), 10)
}
