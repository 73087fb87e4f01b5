package event

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// maxSnapshotBytes bounds the uncompressed size of a snapshot that is read, so
	// that a damaged object cannot exhaust memory.
	maxSnapshotBytes = 64 << 20
	// snapshotFormat is the version of the snapshot format.
	snapshotFormat = 1
)

// snapshot is the JSON content of a snapshot before compression.
type snapshot struct {
	Events []Event
	Format int
}

// EncodeSnapshot encodes events as gzip-compressed JSON for the object store.
func EncodeSnapshot(events []Event) ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(writer).Encode(snapshot{Events: events, Format: snapshotFormat}); err != nil {
		return nil, &Error{Op: "encode snapshot", Kind: KindEncode, Err: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &Error{Op: "encode snapshot", Kind: KindEncode, Err: err}
	}
	return compressed.Bytes(), nil
}

// DecodeSnapshot decodes the events of a snapshot made by EncodeSnapshot.
func DecodeSnapshot(compressed []byte) ([]Event, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, &Error{Op: "decode snapshot", Kind: KindMalformed, Err: err}
	}
	var content snapshot
	if err := json.NewDecoder(io.LimitReader(reader, maxSnapshotBytes)).Decode(&content); err != nil {
		return nil, &Error{Op: "decode snapshot", Kind: KindMalformed, Err: err}
	}
	if content.Format != snapshotFormat {
		return nil, &Error{
			Op:   "decode snapshot",
			Kind: KindMalformed,
			Err:  fmt.Errorf("format is %d, want %d", content.Format, snapshotFormat),
		}
	}
	return content.Events, nil
}
