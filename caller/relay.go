package caller

import (
	"encoding/binary"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
)

// maxHeldBytes limits the size of the messages that are held back until a commit is
// durable.
const maxHeldBytes = 1 << 20

// maxUnreadBytes is the largest batch, in bytes, that is sent completely before its
// replies are read. It is well below the size of the socket buffers in between.
const maxUnreadBytes = 32 << 10

// errTruncated ends a session to which only part of a message was sent: the caller
// would take an error message for the rest of it.
var errTruncated = errors.New("the connection to the backend server was lost in the middle of a message")

// relayState is the state of relaying one response.
type relayState struct {
	relayResult relayResult
	// holding says that heldMessages contains messages of this response.
	holding bool
	// inBlock says that the request runs in a transaction block that can't move to
	// another server, because statements ran in it.
	inBlock bool
}

// attempt sends a request on the leased connection and relays the response. A
// returned error ends the session.
func (s *session) attempt(r *request) (relayResult, error) {
	conn := s.lease.Conn()
	s.pendingReply = s.pendingReply[:0]
	s.rolledBack = false
	s.completedParses = 0
	if !s.holdingCommit {
		s.heldMessages = s.heldMessages[:0]
	}
	if r.endsWithSync {
		conn.BeginRequest()
	} else {
		conn.BeginUnsyncedRequest()
	}
	if !r.simpleQuery && len(s.batch.data) > maxUnreadBytes {
		return s.attemptLongBatch(r, conn)
	}
	if err := s.send(r, conn); err != nil {
		return relayResult{err: err}, nil
	}
	if err := conn.Flush(); err != nil {
		return relayResult{err: err}, nil
	}
	return s.relay(r, conn)
}

// attemptLongBatch sends a long batch in the background while it relays the
// replies.
func (s *session) attemptLongBatch(r *request, conn *backend.Conn) (relayResult, error) {
	conn.HoldWrites()
	if err := s.send(r, conn); err != nil {
		return relayResult{err: err}, nil
	}
	s.sendResult = conn.FlushAsync()
	result, err := s.relay(r, conn)
	if result.err == nil && err == nil {
		result.err = s.awaitSendResult()
	}
	s.sendResult = nil
	return result, err
}

// awaitSendResult waits until a long batch is sent completely.
func (s *session) awaitSendResult() error {
	if s.sendResult == nil {
		return nil
	}
	err := <-s.sendResult
	s.sendResult = nil
	if err != nil {
		return &backend.Error{Op: "write", Kind: backend.KindConnection, Err: err}
	}
	return nil
}

// relay relays the server's messages to the caller until the response is complete.
func (s *session) relay(r *request, conn *backend.Conn) (relayResult, error) {
	state := relayState{holding: s.holdingCommit, inBlock: s.txStatus != backend.TxIdle && s.replayableBegin == ""}
	for {
		s.sendLocalReplies()
		if !r.endsWithSync && (len(s.pendingReply) == 0 || state.relayResult.code != "") {
			s.skippingToSync = state.relayResult.code != ""
			return state.relayResult, nil
		}
		if !conn.Buffered() && s.writer.Flushed() {
			if err := s.writer.Flush(); err != nil {
				return state.relayResult, err
			}
		}
		frame, err := conn.Next()
		if err != nil {
			state.relayResult.err = err
			return state.relayResult, nil
		}
		if frame.Type == 'Z' { // ReadyForQuery
			return state.relayResult, nil
		}
		if err := s.relayFrame(r, conn, frame, &state); err != nil {
			if s.writer.Err() != nil || !isBackendError(err) {
				return state.relayResult, err
			}
			state.relayResult.err = err
			return state.relayResult, nil
		}
	}
}

// relayFrame relays, holds back or drops one message of the server.
func (s *session) relayFrame(r *request, conn *backend.Conn, frame backend.Frame, state *relayState) error {
	if state.relayResult.refused {
		return nil
	}
	switch frame.Type {
	case 'E': // ErrorResponse
		return s.relayError(r, conn, state)
	case 'S': // ParameterStatus
		return s.relayParameter(conn)
	case 'A': // NotificationResponse
		return nil
	case 'N': // NoticeResponse
		return conn.CopyTo(s.writer)
	}
	if s.consumeReply(frame.Type) {
		return nil
	}
	if frame.Type == 'C' { // CommandComplete
		body, err := conn.Body()
		if err != nil {
			return err
		}
		s.rolledBack = string(body) == "ROLLBACK\x00"
	}
	if frame.Type == 'C' && s.lease.Primary() {
		return s.holdCommandComplete(conn, frame, state)
	}
	if state.holding && s.holdingCommit {
		return s.holdAfterCommit(conn, frame)
	}
	if state.holding {
		state.holding = false
		_ = s.writer.Raw(s.heldMessages)
		s.heldMessages = s.heldMessages[:0]
	}
	if err := conn.CopyTo(s.writer); err != nil {
		if conn.Truncated() {
			return errTruncated
		}
		return err
	}
	switch frame.Type {
	case 'D', 'd', 'H': // DataRow, CopyData, CopyOutResponse
		return s.flushRows(conn)
	case 'G': // CopyInResponse
		return s.copyIn(r, conn)
	case 'W': // CopyBothResponse
		return &Error{Op: "relay", Kind: KindUnsupported, Err: errors.New("replication isn't supported")}
	}
	return nil
}

// flushRows flushes rows to the caller when no more bytes of the server are
// buffered. After a flush the request can't be rerun.
func (s *session) flushRows(conn *backend.Conn) error {
	if conn.Buffered() {
		return nil
	}
	return s.writer.Flush()
}

// holdCommandComplete holds a CommandComplete back until it is known whether it
// acknowledges a commit. An earlier one of the same response is released first,
// because it acknowledged no commit, unless its tag was COMMIT.
func (s *session) holdCommandComplete(conn *backend.Conn, frame backend.Frame, state *relayState) error {
	body, err := conn.Body()
	if err != nil {
		return err
	}
	if state.holding && !s.holdingCommit {
		if err := s.writer.Raw(s.heldMessages); err != nil {
			return err
		}
		s.heldMessages = s.heldMessages[:0]
	}
	state.holding = true
	s.holdingCommit = s.holdingCommit || strings.HasPrefix(string(body), "COMMIT")
	s.appendHeld(frame, body)
	return nil
}

// holdAfterCommit holds back a message that follows the CommandComplete of a
// COMMIT.
func (s *session) holdAfterCommit(conn *backend.Conn, frame backend.Frame) error {
	if len(s.heldMessages)+frame.Size > maxHeldBytes {
		return &Error{Op: "relay", Kind: KindUnknownOutcome, Outcome: OutcomeUnknown, Err: errors.New("too many rows follow a COMMIT in the same request")}
	}
	body, err := conn.Body()
	if err != nil {
		return err
	}
	s.appendHeld(frame, body)
	return nil
}

// appendHeld appends a message to the messages that are held back.
func (s *session) appendHeld(frame backend.Frame, body []byte) {
	var header [headerSize]byte
	header[0] = frame.Type
	binary.BigEndian.PutUint32(header[1:], uint32(frame.Size+4))
	s.heldMessages = append(s.heldMessages, header[:]...)
	s.heldMessages = append(s.heldMessages, body...)
}

// relayError relays an error of the server and adds the outcome. If the server
// refused a write and nothing was sent to the caller yet, the error is kept and the
// request can be rerun instead.
func (s *session) relayError(r *request, conn *backend.Conn, state *relayState) error {
	body, err := conn.Body()
	if err != nil {
		return err
	}
	var serverError pgproto3.ErrorResponse
	if err := serverError.Decode(body); err != nil {
		return &backend.Error{Op: "relay", Kind: backend.KindProtocol, Err: err}
	}
	if serverError.Severity == "FATAL" || serverError.Severity == "PANIC" {
		return &backend.Error{Op: "relay", Kind: backend.KindConnection, Code: serverError.Code, Err: errors.New("the backend server closed the connection with a FATAL or PANIC error")}
	}
	if state.relayResult.code == "" {
		state.relayResult.code = serverError.Code
	}
	s.unmarkUnparsed(conn)
	if serverError.Code == sqlstateReadOnly && !state.inBlock && r.endsWithSync && r.canRerunAfterRefusal() && !s.pinned && !s.writer.Flushed() {
		state.relayResult.serverError = &serverError
		state.relayResult.refused = true
		return nil
	}
	if state.holding {
		state.holding = false
		_ = s.writer.Raw(s.heldMessages)
		s.heldMessages = s.heldMessages[:0]
	}
	appendOutcome(&serverError)
	return s.writer.Message(&serverError)
}

// relayParameter relays a ParameterStatus, except for the group position, which
// only the proxy uses, and the application name, which is the proxy's own.
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

// copyIn relays COPY data from the caller to the server until it ends.
func (s *session) copyIn(r *request, conn *backend.Conn) error {
	if err := s.writer.Flush(); err != nil {
		return err
	}
	if err := s.awaitSendResult(); err != nil {
		return err
	}
	_ = s.conn.SetReadDeadline(s.server.config.Now().Add(s.server.config.IdleTimeout))
	dataEnded := false
	for {
		frame, err := s.reader.Next()
		if err != nil {
			return err
		}
		switch frame.Type {
		case 'd': // CopyData
			if err := conn.SendFrom(s.reader); err != nil {
				return err
			}
			continue
		case 'H': // Flush
			if err := conn.Flush(); err != nil {
				return err
			}
			continue
		case 'c', 'f', 'S': // CopyDone, CopyFail, Sync
		default:
			return &Error{Op: "copy", Kind: KindProtocol, Err: errors.New("unexpected message during COPY")}
		}
		if err := conn.SendFrom(s.reader); err != nil {
			return err
		}
		// In the extended protocol the server ignores a Sync that arrives before
		// the end of the data, so the Sync after the data is relayed too. A Sync
		// within the data doesn't end it.
		dataEnded = dataEnded || frame.Type != 'S'
		if !dataEnded || !r.simpleQuery && r.endsWithSync && frame.Type != 'S' {
			continue
		}
		if !r.endsWithSync {
			// Without a Sync the server sends its reply only after a Flush.
			if err := sendParts(conn, 'H'); err != nil {
				return err
			}
		}
		return conn.Flush()
	}
}

// appendOutcome adds the outcome to the detail of an error of the server.
func appendOutcome(failure *pgproto3.ErrorResponse) {
	if failure.Detail != "" {
		failure.Detail += "\n"
	}
	failure.Detail += outcomeDetail(OutcomeFailed)
}

// isBackendError reports whether the backend connection failed, rather than the
// connection to the caller.
func isBackendError(err error) bool {
	var backendErr *backend.Error
	return errors.As(err, &backendErr)
}
