package budget

import "sync/atomic"

// Bytes limits the bytes held for a purpose that nothing can be closed for.
type Bytes struct {
	limit int64
	used  atomic.Int64
}

// NewBytes returns a limit of which nothing is used.
func NewBytes(limit int) *Bytes {
	return &Bytes{limit: int64(limit)}
}

// Take adds bytes to those used. It reports false, and adds none, if the limit would be
// exceeded.
func (b *Bytes) Take(bytes int) bool {
	if b.used.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.Return(bytes)
	return false
}

// Return subtracts bytes that are no longer used.
func (b *Bytes) Return(bytes int) {
	b.used.Add(-int64(bytes))
}
