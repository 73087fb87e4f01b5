package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"

	"github.com/nutmegpier/nutmegpier/backend"
)

// headerSize is the size of a message header in bytes.
const headerSize = 5

// maxBatchMessages bounds the messages up to a Sync, since small messages take
// more memory here than on the wire.
const maxBatchMessages = 1 << 17

// keptCapacity is the number of elements of a buffer that an idle session keeps.
const keptCapacity = 64

// message is one message of a batch. The offsets are those of its body.
type message struct {
	end   int
	kind  byte
	start int
	// statement is the one that Parse, Bind or Describe refers to at this
	// place of the batch. It is nil if there is none.
	statement *preparedStatement
}

// batch is what a caller sent up to a Query, Sync or Flush. It is kept until
// the answer is complete, so that it can be rerun.
type batch struct {
	data     []byte
	messages []message
}

// add appends a message.
func (b *batch) add(kind byte, body []byte) {
	var header [headerSize]byte
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(len(body)+4))
	b.data = append(b.data, header[:]...)
	start := len(b.data)
	b.data = append(b.data, body...)
	b.messages = append(b.messages, message{end: len(b.data), kind: kind, start: start})
}

// body returns the body of a message.
func (b *batch) body(m message) []byte {
	return b.data[m.start:m.end]
}

// raw returns a message with its header.
func (b *batch) raw(m message) []byte {
	return b.data[m.start-headerSize : m.end]
}

// reset empties the batch and gives back a large buffer.
func (b *batch) reset() {
	const kept = 4 << 10
	if cap(b.data) > kept {
		b.data = nil
	}
	b.data = b.data[:0]
	if cap(b.messages) > keptCapacity {
		b.messages = nil
	}
	clear(b.messages)
	b.messages = b.messages[:0]
}

// operation is one answer that is expected from the backend server. Kind is
// the type of the message that asks for it.
type operation struct {
	// injected says that the caller didn't ask, so the answer is swallowed.
	injected bool
	kind     byte
	// local says that the answer is made here, not by the server.
	local bool
	// name is the statement that an answer to Parse is about.
	name string
}

// preparedStatement is a statement that a caller prepared. It is parsed on a
// backend connection when it is first used there.
type preparedStatement struct {
	class Classification
	// name is the statement's name on backend connections. It is a digest of
	// the SQL text and the parameter types, so sessions share it.
	name  string
	sql   string
	types []byte
}

// parseMessage decodes the body of Parse. The name is part of the body.
func parseMessage(body []byte) (name []byte, statement *preparedStatement, err error) {
	name, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return nil, nil, malformed("Parse")
	}
	sql, types, found := bytes.Cut(rest, []byte{0})
	if !found || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return nil, nil, malformed("Parse")
	}
	statement = &preparedStatement{sql: string(sql), types: bytes.Clone(types)}
	statement.class = Classify(statement.sql)
	return name, statement, nil
}

// size returns the memory that the statement takes, about, in bytes.
func (p *preparedStatement) size() int {
	const overhead = 512
	return overhead + len(p.sql) + len(p.types)
}

// digest sets the name of the statement on backend connections.
func (p *preparedStatement) digest() {
	hash := sha256.New()
	hash.Write([]byte(p.sql))
	hash.Write([]byte{0})
	hash.Write(p.types)
	p.name = "np_" + hex.EncodeToString(hash.Sum(nil)[:16])
}

// bindNames returns the portal and statement names of Bind, and what follows.
func bindNames(body []byte) (portal, statement, rest []byte, err error) {
	portal, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return nil, nil, nil, malformed("Bind")
	}
	statement, rest, found = bytes.Cut(rest, []byte{0})
	if !found {
		return nil, nil, nil, malformed("Bind")
	}
	return portal, statement, rest, nil
}

// objectName returns the kind and name of Describe and Close.
func objectName(body []byte) (kind byte, name []byte, err error) {
	if len(body) < 2 || body[len(body)-1] != 0 || body[0] != 'S' && body[0] != 'P' {
		return 0, nil, malformed("Describe or Close")
	}
	return body[0], body[1 : len(body)-1], nil
}

func malformed(what string) error {
	return &Error{Op: "read", Kind: KindProtocol, Err: errors.New("malformed " + what + " message")}
}

// sendNamed sends a message whose body is made of the given parts.
func sendNamed(conn *backend.Conn, kind byte, parts ...[]byte) error {
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
