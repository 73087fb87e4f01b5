// Package datagram carries short questions and answers between instances over
// UDP. One socket serves all of them, so that many instances cost no connections
// that could go silent. Each message is authenticated with the secret of the
// instance that answers.
package datagram

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// resendInterval is when a question without an answer is sent again: several
	// times the way there and back inside a region.
	resendInterval = 20 * time.Millisecond
	// secretBytes is the length of a secret: that of the digest's output.
	secretBytes = sha256.Size
	// tagBytes is the length of the authentication tag, which is shortened to
	// half, as is usual for short-lived messages.
	tagBytes = 16
	// idBytes is the length of a question's id.
	idBytes = 8
	// headBytes precede the content: kind, id and tag.
	headBytes = 1 + idBytes + tagBytes
	// maxBytes is the longest message. It fits in one packet of an Ethernet
	// link.
	maxBytes = 1400
	// keptAnswers is the number of answers that are kept for questions that
	// arrive again: about a second of them on a busy instance.
	keptAnswers = 512
	// readPause is the wait after a read that failed.
	readPause = 10 * time.Millisecond
)

// kind tells questions and answers apart.
type kind byte

const (
	kindQuestion kind = 'q'
	kindAnswer   kind = 'a'
)

// Endpoint asks and answers over one socket. It is safe for concurrent use.
type Endpoint struct {
	answered *answerCache
	conn     *net.UDPConn
	secret   []byte

	mu      sync.Mutex
	next    uint64
	pending map[uint64]*question
}

// question is one that waits for its answer.
type question struct {
	answer chan []byte
	secret []byte
	to     netip.AddrPort
}

// New returns an endpoint with a secret of its own that answers at the socket's
// address.
func New(conn *net.UDPConn) *Endpoint {
	random := make([]byte, secretBytes+idBytes)
	_, _ = rand.Read(random) // never fails, by its contract
	return &Endpoint{
		answered: newAnswerCache(keptAnswers),
		conn:     conn,
		// An answer to an earlier run of the process must not match.
		next:    binary.BigEndian.Uint64(random[secretBytes:]),
		pending: map[uint64]*question{},
		secret:  random[:secretBytes],
	}
}

// Address is where the endpoint answers, as IP:port.
func (e *Endpoint) Address() string {
	return e.conn.LocalAddr().String()
}

// Secret must be known to those who ask this endpoint.
func (e *Endpoint) Secret() []byte {
	return e.secret
}

// Ask returns the answer of the endpoint at an address with a secret. The
// question is sent again until the context ends.
func (e *Endpoint) Ask(ctx context.Context, address string, secret, content []byte) ([]byte, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &Error{Err: err, Kind: KindInvalid, Op: "ask"}
	}
	if len(content)+headBytes > maxBytes {
		return nil, &Error{Err: errors.New("the question is too long"), Kind: KindInvalid, Op: "ask"}
	}
	id, asked := e.register(to, secret)
	defer e.unregister(id)
	message := encode(kindQuestion, id, secret, content)
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		if _, err := e.conn.WriteToUDPAddrPort(message, to); err != nil {
			return nil, &Error{Err: err, Kind: KindUnreachable, Op: "ask"}
		}
		select {
		case answer := <-asked.answer:
			return answer, nil
		case <-ctx.Done():
			return nil, &Error{Err: ctx.Err(), Kind: KindUnreachable, Op: "ask"}
		case <-ticker.C:
		}
	}
}

// Serve answers questions and takes answers until the context ends. A question
// that arrives again gets the first answer again.
func (e *Endpoint) Serve(ctx context.Context, answer func(question []byte) []byte) error {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
	buffer := make([]byte, maxBytes)
	for {
		count, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A refusal by an address without listener is reported here, and
			// says nothing about the others.
			pause := time.NewTimer(readPause)
			<-pause.C
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e.receive(from, buffer[:count], answer)
	}
}

// receive handles one message. One that is malformed or not authentic is
// dropped, like one that was lost.
func (e *Endpoint) receive(from netip.AddrPort, message []byte, answer func(question []byte) []byte) {
	if len(message) < headBytes {
		return
	}
	id := binary.BigEndian.Uint64(message[1:])
	switch kind(message[0]) {
	case kindAnswer:
		e.mu.Lock()
		asked := e.pending[id]
		e.mu.Unlock()
		if asked == nil || asked.to != from || !isAuthentic(message, asked.secret) {
			return
		}
		select {
		case asked.answer <- append([]byte(nil), message[headBytes:]...):
		default:
		}
	case kindQuestion:
		if !isAuthentic(message, e.secret) {
			return
		}
		key := answerKey{from: from, id: id}
		encoded, known := e.answered.get(key)
		if !known {
			content := answer(message[headBytes:])
			if content == nil || len(content)+headBytes > maxBytes {
				return
			}
			encoded = encode(kindAnswer, id, e.secret, content)
			e.answered.put(key, encoded)
		}
		// A lost answer is asked for again.
		_, _ = e.conn.WriteToUDPAddrPort(encoded, from)
	}
}

func (e *Endpoint) register(to netip.AddrPort, secret []byte) (uint64, *question) {
	asked := &question{answer: make(chan []byte, 1), secret: secret, to: to}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	e.pending[e.next] = asked
	return e.next, asked
}

func (e *Endpoint) unregister(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, id)
}

func encode(k kind, id uint64, secret, content []byte) []byte {
	message := make([]byte, headBytes, headBytes+len(content))
	message[0] = byte(k)
	binary.BigEndian.PutUint64(message[1:], id)
	message = append(message, content...)
	copy(message[1+idBytes:], tag(message, secret))
	return message
}

func isAuthentic(message, secret []byte) bool {
	return hmac.Equal(message[1+idBytes:headBytes], tag(message, secret))
}

// tag authenticates kind, id and content of a message.
func tag(message, secret []byte) []byte {
	digest := hmac.New(sha256.New, secret)
	digest.Write(message[:1+idBytes])
	digest.Write(message[headBytes:])
	return digest.Sum(nil)[:tagBytes]
}
