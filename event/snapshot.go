package event

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// maxSnapshotBytes bounds the unpacked size of a snapshot, so that a
	// damaged object cannot exhaust memory.
	maxSnapshotBytes = 64 << 20
	// snapshotFormat is the version of the snapshot's content.
	snapshotFormat = 1
)

// snapshot is the content of a snapshot before it is packed.
type snapshot struct {
	Events []Event
	Format int
}

// EncodeSnapshot packs events for the object store.
func EncodeSnapshot(events []Event) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if err := json.NewEncoder(writer).Encode(snapshot{Events: events, Format: snapshotFormat}); err != nil {
		return nil, &Error{Op: "encode snapshot", Kind: KindEncode, Err: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &Error{Op: "encode snapshot", Kind: KindEncode, Err: err}
	}
	return packed.Bytes(), nil
}

// DecodeSnapshot unpacks events that were packed by EncodeSnapshot.
func DecodeSnapshot(packed []byte) ([]Event, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
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
