package relay

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/nutmegpier/nutmegpier/feed"
)

const (
	// packedVersion is the version of the packed form of rows. A caller names the latest
	// version that it understands, and gets rows in plain form if that is lower.
	packedVersion = 1
	// maxValueBytes bounds a value that is decoded. Rows of the store have at most 65,536
	// bytes.
	maxValueBytes = 1 << 20
	// maxCopyBytes bounds a message, a decompressed copy of a table, and the keys and values
	// of its rows. The rows of 1,000 instances and their configuration are well below 1 MiB.
	maxCopyBytes = 16 << 20
	// rowBytes is added to the length of a row's key and value for the memory it occupies.
	rowBytes = 128
)

// errTooLarge is the error of rows that are larger than any copy of a table.
var errTooLarge = errors.New("the rows are larger than a copy of a table may be")

// Forms of a row in packed rows.
const (
	formDeleted = 0
	formWhole   = 1
	// formNumbers and formParts describe the value by its difference from the base.
	formNumbers = 2
	formParts   = 3
)

// packRows encodes rows in order of their keys. Of a key only the part that differs from
// the previous one is encoded, and of a value the difference from the row's base.
func packRows(rows []feed.Row) []byte {
	rows = slices.SortedFunc(slices.Values(rows), func(a, b feed.Row) int { return cmp.Compare(a.Key, b.Key) })
	var packed []byte
	previous := feed.Row{}
	for _, row := range rows {
		shared, _ := commonEnds([]byte(previous.Key), []byte(row.Key))
		packed = binary.AppendUvarint(packed, uint64(shared))
		packed = appendBytes(packed, []byte(row.Key[shared:]))
		packed = binary.AppendVarint(packed, int64(row.Revision-previous.Revision))
		form, content := packValue(row)
		packed = append(packed, form)
		if form == formNumbers || form == formParts {
			packed = binary.AppendUvarint(packed, uint64(row.Revision-row.Base.Revision))
		}
		if form != formDeleted {
			packed = appendBytes(packed, content)
		}
		previous = row
	}
	return packed
}

// packValue returns the shortest form of a row's value.
func packValue(row feed.Row) (form byte, content []byte) {
	if row.Deleted {
		return formDeleted, nil
	}
	if row.Base.Revision == 0 || row.Base.Revision > row.Revision {
		return formWhole, row.Value
	}
	if delta, found := numbersDelta(row.Base.Value, row.Value); found {
		return formNumbers, delta
	}
	if delta := partsDelta(row.Base.Value, row.Value); len(delta) < len(row.Value) {
		return formParts, delta
	}
	return formWhole, row.Value
}

// unpackRows is the inverse of packRows. The function known returns the value of a row
// that the receiver has.
func unpackRows(packed []byte, known func(key string) feed.RowVersion) ([]feed.Row, error) {
	r := reader{data: packed}
	var rows []feed.Row
	previous, decoded := feed.Row{}, 0
	for len(r.data) > 0 {
		shared, suffix := r.length(), r.bytes()
		if shared > len(previous.Key) {
			return nil, errDelta
		}
		row := feed.Row{Key: previous.Key[:shared] + string(suffix)}
		row.Revision = previous.Revision + feed.Revision(r.varint())
		form := r.byte()
		baseRevision := row.Revision
		if form == formNumbers || form == formParts {
			baseRevision -= feed.Revision(r.uvarint())
		}
		var content []byte
		if form != formDeleted {
			content = r.bytes()
		}
		if r.failed || form > formParts {
			return nil, fmt.Errorf("row %s: %w", row.Key, errDelta)
		}
		if err := unpackValue(&row, form, content, baseRevision, known); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		if decoded += rowBytes + len(row.Key) + len(row.Value); decoded > maxCopyBytes {
			return nil, errTooLarge
		}
		rows = append(rows, row)
		previous = row
	}
	return rows, nil
}

// unpackValue sets the value of a row.
func unpackValue(row *feed.Row, form byte, content []byte, baseRevision feed.Revision, known func(key string) feed.RowVersion) (err error) {
	switch form {
	case formDeleted:
		row.Deleted = true
		return nil
	case formWhole:
		row.Value = content
		return nil
	}
	base := known(row.Key)
	if base.Revision >= row.Revision {
		// The receiver read this version or a later one itself.
		row.Value = base.Value
		return nil
	}
	if base.Revision != baseRevision {
		return errDelta
	}
	if form == formNumbers {
		row.Value, err = applyNumbers(base.Value, content)
	} else {
		row.Value, err = applyParts(base.Value, content)
	}
	return err
}

// decompress returns the content of compressed rows.
func decompress(compressed []byte) ([]byte, error) {
	content, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	decompressed, err := io.ReadAll(io.LimitReader(content, maxCopyBytes+1))
	if err == nil && len(decompressed) > maxCopyBytes {
		err = errTooLarge
	}
	return decompressed, err
}

// reader reads packed values. After a malformed one, failed is true and all values are
// zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) fail() {
	r.data, r.failed = nil, true
}

func (r *reader) uvarint() uint64 {
	value, length := binary.Uvarint(r.data)
	if length <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[length:]
	return value
}

func (r *reader) varint() int64 {
	value, length := binary.Varint(r.data)
	if length <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[length:]
	return value
}

// length reads a length or position.
func (r *reader) length() int {
	value := r.uvarint()
	if value > math.MaxInt32 {
		r.fail()
		return 0
	}
	return int(value)
}

func (r *reader) byte() byte {
	if len(r.data) == 0 {
		r.fail()
		return 0
	}
	value := r.data[0]
	r.data = r.data[1:]
	return value
}

func (r *reader) bytes() []byte {
	length := r.length()
	if length > len(r.data) {
		r.fail()
		return nil
	}
	content := r.data[:length:length]
	r.data = r.data[length:]
	return content
}
