package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"

	"github.com/nutmegpier/nutmegpier/backend"
)

// headerSize is the size of a protocol message header in bytes: type and length.
const headerSize = 5

// maxBatchMessages limits the number of messages up to a Sync. The limit in bytes
// isn't enough, because small messages take more memory in a batch than on the
// wire.
const maxBatchMessages = 1 << 17

// maxIdleCapacity is the largest capacity, in elements, of a slice that is kept for
// the next request. Larger ones are freed, so that idle sessions take little
// memory.
const maxIdleCapacity = 64

// message is one message of a batch. start and end are the offsets of its body in
// batch.data; kind is the message type.
type message struct {
	end   int
	kind  byte
	start int
	// statement is the prepared statement that a Parse, Bind or Describe refers to,
	// as of this position in the batch. It is nil if there is no such statement.
	statement *preparedStatement
}

// batch holds the extended query messages that a caller sent up to a Sync or Flush.
// It is kept until the response is complete, so that it can be rerun on another
// server.
type batch struct {
	data     []byte
	messages []message
}

// add appends a message to the batch.
func (b *batch) add(kind byte, body []byte) {
	var header [headerSize]byte
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(len(body)+4))
	b.data = append(b.data, header[:]...)
	start := len(b.data)
	b.data = append(b.data, body...)
	b.messages = append(b.messages, message{end: len(b.data), kind: kind, start: start})
}

// body returns the body of a message without its header.
func (b *batch) body(m message) []byte {
	return b.data[m.start:m.end]
}

// raw returns a message including its header.
func (b *batch) raw(m message) []byte {
	return b.data[m.start-headerSize : m.end]
}

// reset empties the batch and frees large buffers.
func (b *batch) reset() {
	const maxIdleBytes = 4 << 10
	if cap(b.data) > maxIdleBytes {
		b.data = nil
	}
	b.data = b.data[:0]
	if cap(b.messages) > maxIdleCapacity {
		b.messages = nil
	}
	clear(b.messages)
	b.messages = b.messages[:0]
}

// pendingReply is a reply to one extended query message that wasn't received yet.
// kind is the type of that message.
type pendingReply struct {
	// injected says that the proxy added the message, so the reply is not relayed
	// to the caller.
	injected bool
	kind     byte
	// local says that the message isn't sent to the backend server: the proxy
	// generates the reply.
	local bool
	// name is the name on the backend connection of the statement that a Parse
	// creates, empty for the unnamed statement.
	name string
}

// preparedStatement is a statement that a caller prepared. It is parsed on a
// backend connection when the session first uses it there.
type preparedStatement struct {
	class Classification
	// name is the name of the statement on backend connections. It is a hash of the
	// SQL text and the parameter types, so sessions that prepare the same statement
	// share it.
	name           string
	sql            string
	parameterTypes []byte
}

// decodeParse decodes the body of a Parse message. The returned name is a slice of
// the body.
func decodeParse(body []byte) (name []byte, statement *preparedStatement, err error) {
	name, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return nil, nil, malformedError("Parse")
	}
	sql, parameterTypes, found := bytes.Cut(rest, []byte{0})
	if !found || len(parameterTypes) < 2 || len(parameterTypes) != 2+4*int(binary.BigEndian.Uint16(parameterTypes)) {
		return nil, nil, malformedError("Parse")
	}
	statement = &preparedStatement{sql: string(sql), parameterTypes: bytes.Clone(parameterTypes)}
	statement.class = Classify(statement.sql)
	return name, statement, nil
}

// size returns the approximate memory use of the statement in bytes.
func (p *preparedStatement) size() int {
	const overhead = 512
	return overhead + len(p.sql) + len(p.parameterTypes)
}

// setName sets the name of the statement on backend connections.
func (p *preparedStatement) setName() {
	hash := sha256.New()
	hash.Write([]byte(p.sql))
	hash.Write([]byte{0})
	hash.Write(p.parameterTypes)
	p.name = "np_" + hex.EncodeToString(hash.Sum(nil)[:16])
}

// decodeBind returns the portal name and the statement name of a Bind message, and
// the rest of its body.
func decodeBind(body []byte) (portal, statement, rest []byte, err error) {
	portal, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return nil, nil, nil, malformedError("Bind")
	}
	statement, rest, found = bytes.Cut(rest, []byte{0})
	if !found {
		return nil, nil, nil, malformedError("Bind")
	}
	return portal, statement, rest, nil
}

// decodeObject returns the object kind ('S' for statement, 'P' for portal) and name
// of a Describe or Close message.
func decodeObject(body []byte) (kind byte, name []byte, err error) {
	if len(body) < 2 || body[len(body)-1] != 0 || body[0] != 'S' && body[0] != 'P' {
		return 0, nil, malformedError("Describe or Close")
	}
	return body[0], body[1 : len(body)-1], nil
}

func malformedError(what string) error {
	return &Error{Op: "read", Kind: KindProtocol, Err: errors.New("malformed " + what + " message")}
}

// sendParts sends a message whose body is the concatenation of the parts.
func sendParts(conn *backend.Conn, kind byte, parts ...[]byte) error {
	size := 4
	for _, part := range parts {
		size += len(part)
	}
	var header [headerSize]byte
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(size))
	if err := conn.Send(header[:]); err != nil {
		return err
	}
	for _, part := range parts {
		if err := conn.Send(part); err != nil {
			return err
		}
	}
	return nil
}
