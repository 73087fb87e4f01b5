package relay

import (
	"slices"
	"sync"

	"github.com/nutmegpier/nutmegpier/feed"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
)

// maxPackedForms is the number of forms of one revision of a table that are kept. Most
// readers know the same one or two revisions.
const maxPackedForms = 8

// packedCache keeps the packed rows of the last revision of each table, so that a relay
// encodes them once and not for each of its readers. It is safe for concurrent use.
type packedCache struct {
	mu     sync.Mutex
	tables map[string]*packedTable
}

// packedTable holds the packed rows of one revision of a table.
type packedTable struct {
	forms    map[packedKey][]byte
	revision feed.Revision
}

// packedKey identifies the packed changes since a revision. A complete copy has none.
type packedKey struct {
	after    feed.Revision
	complete bool
	whole    bool
}

func newPackedCache() *packedCache {
	return &packedCache{tables: map[string]*packedTable{}}
}

// rows returns the packed rows of a snapshot, compressed if they are the whole table.
func (c *packedCache) rows(request *nutmegpierv1.ChangesRequest, snapshot feed.Snapshot) (packed []byte, compressed bool) {
	if len(snapshot.Rows) == 0 {
		return nil, false
	}
	key := packedKey{after: feed.Revision(request.GetAfter()), whole: request.GetWhole()}
	if snapshot.Complete {
		key = packedKey{complete: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	table := c.tables[request.GetTable()]
	if table == nil || table.revision < snapshot.Revision {
		table = &packedTable{forms: map[packedKey][]byte{}, revision: snapshot.Revision}
		c.tables[request.GetTable()] = table
	}
	if packed, found := table.forms[key]; found && table.revision == snapshot.Revision {
		return packed, snapshot.Complete
	}
	packed = packSnapshot(snapshot, key.whole)
	if table.revision == snapshot.Revision && len(table.forms) < maxPackedForms {
		table.forms[key] = packed
	}
	return packed, snapshot.Complete
}

// packSnapshot returns the packed rows of a snapshot. If whole is true, they don't refer
// to versions that the receiver has.
func packSnapshot(snapshot feed.Snapshot, whole bool) []byte {
	if whole {
		snapshot.Rows = slices.Clone(snapshot.Rows)
		for i := range snapshot.Rows {
			snapshot.Rows[i].Base = feed.RowVersion{}
		}
	}
	packed := packRows(snapshot.Rows)
	if snapshot.Complete {
		return compress(packed)
	}
	return packed
}
