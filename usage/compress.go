package usage

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

// maxRowBytes bounds the length of a row before compression.
const maxRowBytes = 1 << 20

// compressors holds instances of flate.Writer, of which each takes more than 600 kB.
var compressors = sync.Pool{New: func() any {
	// The level is valid, so that there is no error.
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return writer
}}

// compress returns the compressed form of content.
func compress(content []byte) ([]byte, error) {
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	var compressed bytes.Buffer
	writer.Reset(&compressed)
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// decompress returns the content of a compressed form.
func decompress(compressed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxRowBytes+1))
	if err == nil && len(content) > maxRowBytes {
		err = errors.New("the row is too long")
	}
	return content, err
}
