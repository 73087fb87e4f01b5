// Package datagram carries short requests and answers between instances over
// UDP. One socket serves all of them, so that many instances need no
// connections, which could break without notice. Each message is authenticated
// with the secret of the instance that answers.
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
	// resendInterval is how often a request is sent again until it is answered:
	// several times the round trip inside a region.
	resendInterval = 20 * time.Millisecond
	// secretBytes is the length of a secret, that of the digest's output.
	secretBytes = sha256.Size
	// tagBytes is the length of the authentication tag. The digest is truncated
	// to half, as is usual for short-lived messages.
	tagBytes = 16
	// idBytes is the length of a request id.
	idBytes = 8
	// headerBytes is the length of the header: kind, id and tag.
	headerBytes = 1 + idBytes + tagBytes
	// maxMessageBytes is the maximum length of a message. It fits in one packet
	// of an Ethernet link.
	maxMessageBytes = 1400
	// answerCacheSize is the number of answers that are kept for requests that
	// arrive again: about a second of them on a busy instance.
	answerCacheSize = 512
	// readRetryDelay is the wait after a failed read of the socket.
	readRetryDelay = 10 * time.Millisecond
)

// kind distinguishes requests from answers.
type kind byte

const (
	kindRequest kind = 'q'
	kindAnswer  kind = 'a'
)

// Endpoint sends and serves requests over one socket. It is safe for concurrent
// use.
type Endpoint struct {
	sentAnswers *answerCache
	conn        *net.UDPConn
	secret      []byte

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]*pendingRequest
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	answer chan []byte
	secret []byte
	to     netip.AddrPort
}

// New returns an endpoint on a socket, with a random secret of its own.
func New(conn *net.UDPConn) *Endpoint {
	random := make([]byte, secretBytes+idBytes)
	_, _ = rand.Read(random) // never fails, by its contract
	return &Endpoint{
		sentAnswers: newAnswerCache(answerCacheSize),
		conn:        conn,
		// Ids start at random, so that an answer to a request of an earlier
		// process doesn't match.
		lastID:  binary.BigEndian.Uint64(random[secretBytes:]),
		pending: map[uint64]*pendingRequest{},
		secret:  random[:secretBytes],
	}
}

// Address returns the address that the endpoint serves, as IP:port.
func (e *Endpoint) Address() string {
	return e.conn.LocalAddr().String()
}

// Secret returns the secret that callers of this endpoint must know.
func (e *Endpoint) Secret() []byte {
	return e.secret
}

// Call sends a request to the endpoint at an address, with the secret of that
// endpoint, and returns the answer. The request is sent again until it is
// answered or the context ends.
func (e *Endpoint) Call(ctx context.Context, address string, secret, content []byte) ([]byte, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &Error{Err: err, Kind: KindInvalid, Op: "ask"}
	}
	if len(content)+headerBytes > maxMessageBytes {
		return nil, &Error{Err: errors.New("the question is too long"), Kind: KindInvalid, Op: "ask"}
	}
	id, request := e.register(to, secret)
	defer e.unregister(id)
	message := encode(kindRequest, id, secret, content)
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		if _, err := e.conn.WriteToUDPAddrPort(message, to); err != nil {
			return nil, &Error{Err: err, Kind: KindUnreachable, Op: "ask"}
		}
		select {
		case answer := <-request.answer:
			return answer, nil
		case <-ctx.Done():
			return nil, &Error{Err: ctx.Err(), Kind: KindUnreachable, Op: "ask"}
		case <-ticker.C:
		}
	}
}

// Serve answers requests, and receives the answers for Call, until the context
// ends. A request that arrives again gets the same answer without another call
// of answer. If answer returns nil, the request gets no answer.
func (e *Endpoint) Serve(ctx context.Context, answer func(request []byte) []byte) error {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
	buffer := make([]byte, maxMessageBytes)
	for {
		count, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error for an earlier message to an address without a
			// listener is reported here. It says nothing about other addresses.
			pause := time.NewTimer(readRetryDelay)
			<-pause.C
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e.receive(from, buffer[:count], answer)
	}
}

// receive handles one message. A malformed or unauthentic one is dropped, as if
// it had been lost.
func (e *Endpoint) receive(from netip.AddrPort, message []byte, answer func(request []byte) []byte) {
	if len(message) < headerBytes {
		return
	}
	id := binary.BigEndian.Uint64(message[1:])
	switch kind(message[0]) {
	case kindAnswer:
		e.mu.Lock()
		waiting := e.pending[id]
		e.mu.Unlock()
		if waiting == nil || waiting.to != from || !isAuthentic(message, waiting.secret) {
			return
		}
		select {
		case waiting.answer <- append([]byte(nil), message[headerBytes:]...):
		default:
		}
	case kindRequest:
		if !isAuthentic(message, e.secret) {
			return
		}
		key := answerKey{from: from, id: id}
		encoded, known := e.sentAnswers.get(key)
		if !known {
			content := answer(message[headerBytes:])
			if content == nil || len(content)+headerBytes > maxMessageBytes {
				return
			}
			encoded = encode(kindAnswer, id, e.secret, content)
			e.sentAnswers.put(key, encoded)
		}
		// If the answer is lost, the request is sent again.
		_, _ = e.conn.WriteToUDPAddrPort(encoded, from)
	}
}

func (e *Endpoint) register(to netip.AddrPort, secret []byte) (uint64, *pendingRequest) {
	request := &pendingRequest{answer: make(chan []byte, 1), secret: secret, to: to}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	e.pending[e.lastID] = request
	return e.lastID, request
}

func (e *Endpoint) unregister(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, id)
}

func encode(k kind, id uint64, secret, content []byte) []byte {
	message := make([]byte, headerBytes, headerBytes+len(content))
	message[0] = byte(k)
	binary.BigEndian.PutUint64(message[1:], id)
	message = append(message, content...)
	copy(message[1+idBytes:], tag(message, secret))
	return message
}

func isAuthentic(message, secret []byte) bool {
	return hmac.Equal(message[1+idBytes:headerBytes], tag(message, secret))
}

// tag returns the authentication tag over kind, id and content of a message.
func tag(message, secret []byte) []byte {
	digest := hmac.New(sha256.New, secret)
	digest.Write(message[:1+idBytes])
	digest.Write(message[headerBytes:])
	return digest.Sum(nil)[:tagBytes]
}
