package datagram

import "net/netip"

// answerKey names a question by its sender and id.
type answerKey struct {
	from netip.AddrPort
	id   uint64
}

// answerCache keeps the last answers. It isn't safe for concurrent use.
type answerCache struct {
	answers map[answerKey][]byte
	// order holds the keys in the order of their arrival; the oldest one is at
	// the place that is written next.
	order []answerKey
	place int
}

func newAnswerCache(size int) *answerCache {
	return &answerCache{answers: make(map[answerKey][]byte, size), order: make([]answerKey, size)}
}

func (c *answerCache) get(key answerKey) ([]byte, bool) {
	answer, known := c.answers[key]
	return answer, known
}

func (c *answerCache) put(key answerKey, answer []byte) {
	delete(c.answers, c.order[c.place])
	c.order[c.place] = key
	c.place = (c.place + 1) % len(c.order)
	c.answers[key] = answer
}
