package relay

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"sync"

	"github.com/nutmegpier/nutmegpier/feed"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
)

// maxPackedForms is the number of forms of one revision of a table that are kept. Most
// readers know the same one or two revisions.
const maxPackedForms = 8

// minCompressedBytes is the length from which on packed rows are compressed.
const minCompressedBytes = 256

// packedCache keeps the packed rows of the last revision of each table, so that a relay
// encodes them once and not for each of its readers. It is safe for concurrent use.
type packedCache struct {
	mu     sync.Mutex
	tables map[string]*packedTable
	// writer is reused, because a new one allocates more than a megabyte.
	writer *gzip.Writer
}

// packedTable holds the packed rows of one revision of a table.
type packedTable struct {
	forms    map[packedKey]packedForm
	revision feed.Revision
}

// packedForm is what is sent for the rows of a snapshot.
type packedForm struct {
	compressed bool
	packed     []byte
}

// packedKey identifies the packed changes since a revision. A complete copy has none.
type packedKey struct {
	after    feed.Revision
	complete bool
	whole    bool
}

func newPackedCache() *packedCache {
	return &packedCache{tables: map[string]*packedTable{}, writer: gzip.NewWriter(io.Discard)}
}

// rows returns the packed rows of a snapshot, and whether they are compressed.
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
		table = &packedTable{forms: map[packedKey]packedForm{}, revision: snapshot.Revision}
		c.tables[request.GetTable()] = table
	}
	form, found := table.forms[key]
	if !found || table.revision != snapshot.Revision {
		form = c.pack(snapshot, key.whole)
	}
	if table.revision == snapshot.Revision && len(table.forms) < maxPackedForms {
		table.forms[key] = form
	}
	return form.packed, form.compressed
}

// pack packs the rows of a snapshot, and compresses them if that makes them shorter. If
// whole is true, they don't refer to versions that the receiver has. The caller holds
// c.mu.
func (c *packedCache) pack(snapshot feed.Snapshot, whole bool) packedForm {
	if whole {
		snapshot.Rows = slices.Clone(snapshot.Rows)
		for i := range snapshot.Rows {
			snapshot.Rows[i].Base = feed.RowVersion{}
		}
	}
	packed := packRows(snapshot.Rows)
	if len(packed) < minCompressedBytes {
		return packedForm{packed: packed}
	}
	var compressed bytes.Buffer
	c.writer.Reset(&compressed)
	// A bytes.Buffer returns no errors.
	_, _ = c.writer.Write(packed)
	_ = c.writer.Close()
	if compressed.Len() >= len(packed) {
		return packedForm{packed: packed}
	}
	return packedForm{compressed: true, packed: compressed.Bytes()}
}
