// Package feed keeps a local copy of a table of the platform's store, and the
// proof of how recent it is. It does no I/O and reads no clock.
package feed

import (
	"slices"
	"time"
)

// Revision is the store's counter of changes. It grows with each change of any
// row.
type Revision uint64

// Row is one row of a table.
type Row struct {
	// Deleted is true in a change that drops the row.
	Deleted  bool
	Key      string
	Revision Revision
	Value    []byte
}

// Snapshot is an answer of the store about a table.
type Snapshot struct {
	// Complete is true if Rows are all rows, and false if they are changes.
	Complete bool
	// Revision is the store's counter at the moment of the answer.
	Revision Revision
	Rows     []Row
	// StoreTime is the store's steady clock at the moment of the answer.
	StoreTime time.Duration
}

// Mirror is a local copy of one table. It isn't safe for concurrent use.
type Mirror struct {
	// completeAt is the revision from which dropped rows are known.
	completeAt Revision
	dropped    map[string]Row
	loaded     bool
	proof      time.Time
	revision   Revision
	rows       map[string]Row
	storeTime  time.Duration
}

// maxDropped is the number of dropped rows that are kept for those who ask for
// changes. Rows of instances and servers are dropped a few times a minute.
const maxDropped = 256

// NewMirror returns a copy that knows nothing yet.
func NewMirror() *Mirror {
	return &Mirror{dropped: map[string]Row{}, rows: map[string]Row{}}
}

// Apply takes an answer in that shows the table at the time of proof or later.
// It returns the rows that changed; dropped ones are marked. An answer that is
// older than the copy changes nothing.
func (m *Mirror) Apply(snapshot Snapshot, proof time.Time) []Row {
	if snapshot.Revision < m.revision {
		return nil
	}
	var changed []Row
	if snapshot.Complete {
		changed = m.dropMissing(snapshot.Rows)
		m.completeAt = snapshot.Revision
		clear(m.dropped)
	}
	for _, row := range snapshot.Rows {
		if known, found := m.rows[row.Key]; found && known.Revision >= row.Revision {
			continue
		}
		if row.Deleted {
			delete(m.rows, row.Key)
			m.dropped[row.Key] = row
		} else {
			m.rows[row.Key] = row
			delete(m.dropped, row.Key)
		}
		changed = append(changed, row)
	}
	m.loaded = m.loaded || snapshot.Complete
	m.revision = snapshot.Revision
	m.storeTime = max(m.storeTime, snapshot.StoreTime)
	if len(m.dropped) > maxDropped {
		m.completeAt = m.revision
		clear(m.dropped)
	}
	if proof.After(m.proof) {
		m.proof = proof
	}
	return changed
}

func (m *Mirror) dropMissing(rows []Row) []Row {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	var dropped []Row
	for key, row := range m.rows {
		if !present[key] {
			row.Deleted = true
			dropped = append(dropped, row)
			delete(m.rows, key)
		}
	}
	return dropped
}

// Since returns what has changed after a revision, as an answer of the store at
// the time of the last one.
func (m *Mirror) ChangesSince(after Revision) Snapshot {
	snapshot := Snapshot{Complete: after < m.completeAt, Revision: m.revision, StoreTime: m.storeTime}
	for _, rows := range []map[string]Row{m.rows, m.dropped} {
		for _, row := range rows {
			if row.Revision > after || (snapshot.Complete && !row.Deleted) {
				snapshot.Rows = append(snapshot.Rows, row)
			}
		}
	}
	if snapshot.Complete {
		snapshot.Rows = slices.DeleteFunc(snapshot.Rows, func(row Row) bool { return row.Deleted })
	}
	return snapshot
}

// StoreTime is the store's steady time of the newest answer.
func (m *Mirror) StoreTime() time.Duration {
	return m.storeTime
}

// Loaded reports whether the copy has ever held the whole table.
func (m *Mirror) Loaded() bool {
	return m.loaded
}

// Proof is a time at which the copy was certainly the newest state.
func (m *Mirror) VerifiedAt() time.Time {
	return m.proof
}

// Revision is the store's counter up to which changes are known.
func (m *Mirror) Revision() Revision {
	return m.revision
}

// Row returns a row.
func (m *Mirror) Row(key string) (Row, bool) {
	row, found := m.rows[key]
	return row, found
}

// Rows returns all rows in no order. The map must not be changed.
func (m *Mirror) Rows() map[string]Row {
	return m.rows
}
