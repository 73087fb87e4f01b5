// Package feed keeps a local copy of a table of the platform's store, with the
// time at which the copy was last verified to be current. It does no I/O and
// doesn't read the clock.
package feed

import (
	"slices"
	"time"
)

// Revision is the store's change counter. It increases with each change of any
// row.
type Revision uint64

// RowVersion is the value of a row as of a revision of it. The zero value stands for a
// row that isn't known.
type RowVersion struct {
	Revision Revision
	Value    []byte
}

// Row is one row of a table, or a change of one.
type Row struct {
	// Base is the version that the change replaces, if a receiver that knows the
	// table up to the revision of the request certainly has it.
	Base RowVersion
	// Deleted is true in a change that deletes the row.
	Deleted  bool
	Key      string
	Revision Revision
	Value    []byte
}

// Snapshot is an answer of the store about a table.
type Snapshot struct {
	// Complete is true if Rows are all rows of the table, and false if they are
	// changes.
	Complete bool
	// Revision is the store's counter at the moment of the answer.
	Revision Revision
	Rows     []Row
	// StoreTime is the store's monotonic clock at the moment of the answer.
	StoreTime time.Duration
}

// Mirror is a local copy of one table. It isn't safe for concurrent use.
type Mirror struct {
	// changesKnownFrom is the revision after which all deletions are known.
	changesKnownFrom Revision
	// gapFrom and gapTo are the revisions before and after the last complete answer about
	// the loaded table. A row that was created and deleted between them was never in this
	// copy, but may be in that of a reader of a revision between them.
	gapFrom, gapTo Revision
	// tombstones are the rows that were deleted after changesKnownFrom.
	tombstones map[string]Row
	loaded     bool
	// verifiedAt is the latest time at which the copy was certainly current.
	verifiedAt time.Time
	revision   Revision
	rows       map[string]Row
	// replaced holds the version that the row with the same key replaced.
	replaced  map[string]replacedVersion
	storeTime time.Duration
}

// replacedVersion is an earlier version of a row.
type replacedVersion struct {
	RowVersion
	// currentUntil is the last revision of the table as of which this was certainly the
	// current version of the row. Later versions may have been skipped.
	currentUntil Revision
}

// maxTombstones is the number of deleted rows that are kept for ChangesSince.
// Rows of instances and servers are deleted a few times a minute.
const maxTombstones = 256

// NewMirror returns an empty copy that has not been loaded yet.
func NewMirror() *Mirror {
	return &Mirror{tombstones: map[string]Row{}, rows: map[string]Row{}, replaced: map[string]replacedVersion{}}
}

// Apply processes an answer that shows the table as it was at verifiedAt or
// later. It returns the rows that changed, with deleted ones marked. An answer
// that is older than the copy is ignored. A complete answer about a table that is
// already known is applied as changes, so that ChangesSince goes on returning changes
// after the store has lost its history.
func (m *Mirror) Apply(snapshot Snapshot, verifiedAt time.Time) []Row {
	if snapshot.Revision < m.revision {
		return nil
	}
	var changed []Row
	if snapshot.Complete {
		changed = m.deleteMissing(snapshot)
	}
	switch {
	case snapshot.Complete && !m.loaded:
		m.changesKnownFrom = snapshot.Revision
		clear(m.tombstones)
	case snapshot.Complete && snapshot.Revision > m.revision:
		m.changesKnownFrom = max(m.changesKnownFrom, m.gapTo)
		m.gapFrom, m.gapTo = m.revision, snapshot.Revision
	}
	for _, row := range snapshot.Rows {
		row.Base = RowVersion{}
		known, found := m.rows[row.Key]
		if found && known.Revision >= row.Revision {
			continue
		}
		m.replaced[row.Key] = replacedVersion{RowVersion: RowVersion{Revision: known.Revision, Value: known.Value}, currentUntil: m.revision}
		if row.Deleted {
			delete(m.replaced, row.Key)
			delete(m.rows, row.Key)
			m.tombstones[row.Key] = row
		} else {
			m.rows[row.Key] = row
			delete(m.tombstones, row.Key)
		}
		changed = append(changed, row)
	}
	m.loaded = m.loaded || snapshot.Complete
	m.revision = snapshot.Revision
	m.storeTime = max(m.storeTime, snapshot.StoreTime)
	if len(m.tombstones) > maxTombstones {
		m.changesKnownFrom = m.revision
		clear(m.tombstones)
	}
	if verifiedAt.After(m.verifiedAt) {
		m.verifiedAt = verifiedAt
	}
	return changed
}

// deleteMissing deletes the rows that a complete answer does not contain, and
// returns them marked as deleted. They count as deleted as of the answer's revision,
// which is not earlier than the deletion.
func (m *Mirror) deleteMissing(snapshot Snapshot) []Row {
	present := make(map[string]bool, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		present[row.Key] = true
	}
	for key, row := range m.tombstones {
		if row.Revision == m.revision && !present[key] {
			// The last answer consisted of several responses, of which a later one may
			// have shown this deletion.
			row.Revision = snapshot.Revision
			m.tombstones[key] = row
		}
	}
	var deleted []Row
	for key, row := range m.rows {
		if !present[key] {
			row.Deleted = true
			deleted = append(deleted, row)
			delete(m.rows, key)
			delete(m.replaced, key)
			m.tombstones[key] = Row{Deleted: true, Key: key, Revision: snapshot.Revision}
		}
	}
	return deleted
}

// IsNewer reports whether a row that Apply has returned is newer than a known revision of
// it. A deletion counts as of the revision of the copy, because a complete answer doesn't
// say when a missing row was deleted.
func (m *Mirror) IsNewer(row Row, known Revision) bool {
	if row.Deleted {
		return m.revision >= known
	}
	return row.Revision > known
}

// ChangesSince returns the changes after a revision, in the form of the store's
// answers. If not all deletions since then are known, it returns all rows.
func (m *Mirror) ChangesSince(after Revision) Snapshot {
	complete := after < m.changesKnownFrom || (m.gapFrom < after && after < m.gapTo)
	snapshot := Snapshot{Complete: complete, Revision: m.revision, StoreTime: m.storeTime}
	for _, rows := range []map[string]Row{m.rows, m.tombstones} {
		for _, row := range rows {
			if row.Revision > after || (snapshot.Complete && !row.Deleted) {
				if base := m.replaced[row.Key]; !snapshot.Complete && !row.Deleted && base.Revision <= after && after <= base.currentUntil {
					row.Base = base.RowVersion
				}
				snapshot.Rows = append(snapshot.Rows, row)
			}
		}
	}
	if snapshot.Complete {
		snapshot.Rows = slices.DeleteFunc(snapshot.Rows, func(row Row) bool { return row.Deleted })
	}
	return snapshot
}

// StoreTime returns the latest store time of an answer.
func (m *Mirror) StoreTime() time.Duration {
	return m.storeTime
}

// Loaded reports whether the copy has ever held the whole table.
func (m *Mirror) Loaded() bool {
	return m.loaded
}

// VerifiedAt returns the latest time at which the copy was certainly current.
func (m *Mirror) VerifiedAt() time.Time {
	return m.verifiedAt
}

// Revision returns the revision up to which changes are known.
func (m *Mirror) Revision() Revision {
	return m.revision
}

// Row returns the row with a key, if there is one.
func (m *Mirror) Row(key string) (Row, bool) {
	row, found := m.rows[key]
	return row, found
}

// Version returns the version of the row with a key that the copy holds.
func (m *Mirror) Version(key string) RowVersion {
	row := m.rows[key]
	return RowVersion{Revision: row.Revision, Value: row.Value}
}

// Rows returns all rows by key. The map must not be changed.
func (m *Mirror) Rows() map[string]Row {
	return m.rows
}
