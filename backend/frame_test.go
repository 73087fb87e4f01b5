package backend_test

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/backend"
)

// FuzzFrameReader guards against messages that are changed by copying, even if their
// bytes arrive one by one, and against message sizes that crash the reader.
func FuzzFrameReader(f *testing.F) {
	for _, seed := range []string{"", "Z\x00\x00\x00\x05I", "D\x00\x00\x00\x04C\x00\x00\x00\x06ab", "E\x00\x00\x00\x03", "E\xff\xff\xff\xff", "D\x00\x00\x00\x20short"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		var want []byte
		wholeReader := backend.NewFrameReader(bytes.NewReader(input), 16, 1000)
		for {
			frame, err := wholeReader.Next()
			if err != nil {
				break
			}
			body, err := wholeReader.Body()
			if err != nil {
				break
			}
			size := frame.Size + 4
			want = append(want, frame.Type, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
			want = append(want, body...)
		}
		var got bytes.Buffer
		w := backend.NewFrameWriter(&got, 8)
		oneByteReader := backend.NewFrameReader(iotest.OneByteReader(bytes.NewReader(input)), 16, 1000)
		for {
			if _, err := oneByteReader.Next(); err != nil {
				break
			}
			if err := oneByteReader.CopyTo(w); err != nil {
				break
			}
		}
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		if !bytes.HasPrefix(got.Bytes(), want) {
			t.Errorf("copied messages differ (-want +got):\n%s", cmp.Diff(want, got.Bytes()))
		}
	})
}
