package datagram

import "net/netip"

// answerKey identifies a request by its sender and id.
type answerKey struct {
	from netip.AddrPort
	id   uint64
}

// answerCache keeps the most recent answers. It isn't safe for concurrent use.
type answerCache struct {
	answers map[answerKey][]byte
	// ring holds the keys in the order of their arrival. nextSlot is the place
	// of the oldest one, which is overwritten next.
	ring     []answerKey
	nextSlot int
}

func newAnswerCache(size int) *answerCache {
	return &answerCache{answers: make(map[answerKey][]byte, size), ring: make([]answerKey, size)}
}

func (c *answerCache) get(key answerKey) ([]byte, bool) {
	answer, known := c.answers[key]
	return answer, known
}

// put adds an answer and drops the oldest one.
func (c *answerCache) put(key answerKey, answer []byte) {
	delete(c.answers, c.ring[c.nextSlot])
	c.ring[c.nextSlot] = key
	c.nextSlot = (c.nextSlot + 1) % len(c.ring)
	c.answers[key] = answer
}
