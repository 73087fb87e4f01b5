package caller

import (
	"encoding/binary"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
)

// maxHeld bounds the messages that are held until a commit is durable, in bytes.
const maxHeld = 1 << 20

// maxUnread is the size of a batch, in bytes, that is sent before its answers
// are read. It is well below the socket buffers on the way.
const maxUnread = 32 << 10

// errTruncated ends a session to which a part of a message was sent, since an
// error message after it would be taken for the rest of it.
var errTruncated = errors.New("the backend server was lost inside a message")

// relayState is the state of one relayed answer.
type relayState struct {
	answer  answer
	holding bool
	inBlock bool
}

// attempt sends a request to the leased connection and relays the answer. An
// error ends the session.
func (s *session) attempt(r *request) (answer, error) {
	conn := s.lease.Conn()
	s.operation = s.operation[:0]
	s.rolledBack = false
	s.parsed = 0
	if !s.commitTag {
		s.held = s.held[:0]
	}
	if r.synced {
		conn.Begin()
	} else {
		conn.BeginUnsynced()
	}
	if !r.simple && len(s.batch.data) > maxUnread {
		return s.attemptLong(r, conn)
	}
	if err := s.send(r, conn); err != nil {
		return answer{err: err}, nil
	}
	if err := conn.Flush(); err != nil {
		return answer{err: err}, nil
	}
	return s.relay(r, conn)
}

// attemptLong sends a long batch while the answers are relayed.
func (s *session) attemptLong(r *request, conn *backend.Conn) (answer, error) {
	conn.Hold()
	if err := s.send(r, conn); err != nil {
		return answer{err: err}, nil
	}
	s.sending = conn.FlushAsync()
	result, err := s.relay(r, conn)
	if result.err == nil && err == nil {
		result.err = s.awaitSent()
	}
	s.sending = nil
	return result, err
}

// awaitSent waits until a long batch was sent.
func (s *session) awaitSent() error {
	if s.sending == nil {
		return nil
	}
	err := <-s.sending
	s.sending = nil
	if err != nil {
		return &backend.Error{Op: "write", Kind: backend.KindConnection, Err: err}
	}
	return nil
}

// relay passes the server's messages on until the answer is complete.
func (s *session) relay(r *request, conn *backend.Conn) (answer, error) {
	state := relayState{holding: s.commitTag, inBlock: s.tx != backend.TxIdle && s.begin == ""}
	for {
		s.answerLocal()
		if !r.synced && (len(s.operation) == 0 || state.answer.code != "") {
			s.skipping = state.answer.code != ""
			return state.answer, nil
		}
		if !conn.Buffered() && s.writer.Flushed() {
			if err := s.writer.Flush(); err != nil {
				return state.answer, err
			}
		}
		frame, err := conn.Next()
		if err != nil {
			state.answer.err = err
			return state.answer, nil
		}
		if frame.Type == 'Z' {
			return state.answer, nil
		}
		if err := s.relayFrame(r, conn, frame, &state); err != nil {
			if s.writer.Failed() != nil || !isBackendError(err) {
				return state.answer, err
			}
			state.answer.err = err
			return state.answer, nil
		}
	}
}

// relayFrame passes one message on, holds it or swallows it.
func (s *session) relayFrame(r *request, conn *backend.Conn, frame backend.Frame, state *relayState) error {
	if state.answer.rerun {
		return nil
	}
	switch frame.Type {
	case 'E':
		return s.relayError(r, conn, state)
	case 'S':
		return s.relayParameter(conn)
	case 'A':
		return nil
	case 'N':
		return conn.CopyTo(s.writer)
	}
	if s.isSwallowed(frame.Type) {
		return nil
	}
	if frame.Type == 'C' {
		body, err := conn.Body()
		if err != nil {
			return err
		}
		s.rolledBack = string(body) == "ROLLBACK\x00"
	}
	if frame.Type == 'C' && s.lease.Primary() {
		return s.hold(conn, frame, state)
	}
	if state.holding && s.commitTag {
		return s.holdMore(conn, frame)
	}
	if state.holding {
		state.holding = false
		_ = s.writer.Raw(s.held)
		s.held = s.held[:0]
	}
	if err := conn.CopyTo(s.writer); err != nil {
		if conn.Truncated() {
			return errTruncated
		}
		return err
	}
	switch frame.Type {
	case 'D', 'd', 'H':
		return s.flushRows(conn)
	case 'G':
		return s.copyIn(r, conn)
	case 'W':
		return &Error{Op: "relay", Kind: KindUnsupported, Err: errors.New("replication isn't supported")}
	}
	return nil
}

// flushRows passes rows on when the server has no more of them ready. After
// that the request can't be rerun.
func (s *session) flushRows(conn *backend.Conn) error {
	if conn.Buffered() {
		return nil
	}
	return s.writer.Flush()
}

// hold keeps a CommandComplete back until it is known whether it acknowledges
// a commit. An earlier one that is held acknowledges none.
func (s *session) hold(conn *backend.Conn, frame backend.Frame, state *relayState) error {
	body, err := conn.Body()
	if err != nil {
		return err
	}
	if state.holding && !s.commitTag {
		if err := s.writer.Raw(s.held); err != nil {
			return err
		}
		s.held = s.held[:0]
	}
	state.holding = true
	s.commitTag = s.commitTag || strings.HasPrefix(string(body), "COMMIT")
	s.holdRaw(frame, body)
	return nil
}

// holdMore keeps back what follows the CommandComplete of a COMMIT.
func (s *session) holdMore(conn *backend.Conn, frame backend.Frame) error {
	if len(s.held)+frame.Size > maxHeld {
		return &Error{Op: "relay", Kind: KindUnknownOutcome, Outcome: OutcomeUnknown, Err: errors.New("too many rows follow a COMMIT in the same request")}
	}
	body, err := conn.Body()
	if err != nil {
		return err
	}
	s.holdRaw(frame, body)
	return nil
}

func (s *session) holdRaw(frame backend.Frame, body []byte) {
	var header [headerSize]byte
	header[0] = frame.Type
	binary.BigEndian.PutUint32(header[1:], uint32(frame.Size+4))
	s.held = append(s.held, header[:]...)
	s.held = append(s.held, body...)
}

// relayError passes an error of the server on with its outcome. A refusal to
// write that came before anything was passed on asks for a rerun instead.
func (s *session) relayError(r *request, conn *backend.Conn, state *relayState) error {
	body, err := conn.Body()
	if err != nil {
		return err
	}
	var failure pgproto3.ErrorResponse
	if err := failure.Decode(body); err != nil {
		return &backend.Error{Op: "relay", Kind: backend.KindProtocol, Err: err}
	}
	if failure.Severity == "FATAL" || failure.Severity == "PANIC" {
		return &backend.Error{Op: "relay", Kind: backend.KindConnection, Code: failure.Code, Err: errors.New("the server closes the connection")}
	}
	if state.answer.code == "" {
		state.answer.code = failure.Code
	}
	s.forgetFailed(conn)
	if failure.Code == codeReadOnly && !state.inBlock && r.synced && r.mayFollowRefusal() && !s.pinned && !s.writer.Flushed() {
		state.answer.failure = &failure
		state.answer.rerun = true
		return nil
	}
	if state.holding {
		state.holding = false
		_ = s.writer.Raw(s.held)
		s.held = s.held[:0]
	}
	extendDetail(&failure)
	return s.writer.Message(&failure)
}

// relayParameter passes a changed parameter on, but for the group's position.
func (s *session) relayParameter(conn *backend.Conn) error {
	body, err := conn.Body()
	if err != nil {
		return err
	}
	if strings.HasPrefix(string(body), "group_position\x00") || strings.HasPrefix(string(body), "application_name\x00") {
		return nil
	}
	return conn.CopyTo(s.writer)
}

// copyIn passes COPY data of the caller on until it ends.
func (s *session) copyIn(r *request, conn *backend.Conn) error {
	if err := s.writer.Flush(); err != nil {
		return err
	}
	if err := s.awaitSent(); err != nil {
		return err
	}
	_ = s.conn.SetReadDeadline(s.server.config.Now().Add(s.server.config.IdleTimeout))
	ended := false
	for {
		frame, err := s.reader.Next()
		if err != nil {
			return err
		}
		switch frame.Type {
		case 'd':
			if err := conn.SendFrom(s.reader); err != nil {
				return err
			}
			continue
		case 'H':
			if err := conn.Flush(); err != nil {
				return err
			}
			continue
		case 'c', 'f', 'S':
		default:
			return &Error{Op: "copy", Kind: KindProtocol, Err: errors.New("unexpected message during COPY")}
		}
		if err := conn.SendFrom(s.reader); err != nil {
			return err
		}
		// In an extended query the server drops the Sync that came before the
		// data, so the one after the data is passed on too. A Sync inside the
		// data ends nothing.
		ended = ended || frame.Type != 'S'
		if !ended || !r.simple && r.synced && frame.Type != 'S' {
			continue
		}
		if !r.synced {
			// Without Sync the server keeps its answer until it is asked for it.
			if err := sendNamed(conn, 'H'); err != nil {
				return err
			}
		}
		return conn.Flush()
	}
}

// extendDetail adds the outcome to an error of the server.
func extendDetail(failure *pgproto3.ErrorResponse) {
	if failure.Detail != "" {
		failure.Detail += "\n"
	}
	failure.Detail += detail(OutcomeFailed)
}

func isBackendError(err error) bool {
	var failed *backend.Error
	return errors.As(err, &failed)
}
