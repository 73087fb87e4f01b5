package caller

import (
	"bytes"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
)

// maxPreparedPerConn limits the prepared statements on one backend connection. If a
// connection has more, all are deallocated when a session next acquires it.
const maxPreparedPerConn = 512

// addToBatch adds an extended query message to the batch.
func (s *session) addToBatch(kind byte) error {
	body, err := s.reader.Body()
	if err != nil {
		return err
	}
	if s.skippingToSync {
		return nil
	}
	if len(s.batch.data)+len(body) > s.server.config.MaxMessage || len(s.batch.messages) >= maxBatchMessages {
		return &Error{Op: "read", Kind: KindProtocol, Err: errors.New("too much data before Sync")}
	}
	s.batch.add(kind, body)
	return nil
}

// endBatch runs the batch at a Sync or Flush.
func (s *session) endBatch(kind byte) error {
	if _, err := s.reader.Body(); err != nil {
		return err
	}
	if s.skippingToSync {
		return s.endSkipping(kind)
	}
	if kind == 'H' && len(s.batch.messages) == 0 {
		return nil
	}
	if kind == 'S' && len(s.batch.messages) == 0 && !s.awaitingSync() {
		s.acquireWriter()
		defer s.releaseWriter()
		return s.sendReady(false)
	}
	r := s.newRequest()
	r.endsWithSync = kind == 'S'
	if err := s.analyzeBatch(&r); err != nil {
		s.acquireWriter()
		defer s.releaseWriter()
		defer s.resetRequestState()
		s.completedParses = 0
		return s.failRequest(&r, err, s.txStatus)
	}
	return s.serveRequest(&r)
}

// endSkipping handles a Sync or Flush after an error that was already reported at a
// Flush. Messages are skipped until the Sync.
func (s *session) endSkipping(kind byte) error {
	if kind == 'H' {
		return nil
	}
	s.skippingToSync = false
	if s.lease == nil {
		s.acquireWriter()
		defer s.releaseWriter()
		return s.sendReady(false)
	}
	r := s.newRequest()
	r.endsWithSync = true
	return s.serveRequest(&r)
}

// awaitingSync reports whether messages were sent to the server with a Flush and
// their Sync is still to come.
func (s *session) awaitingSync() bool {
	return s.lease != nil && s.lease.Conn().Unsynced()
}

// analyzeBatch decodes the messages of the batch and determines the properties of
// the request.
func (s *session) analyzeBatch(r *request) error {
	for i := range s.batch.messages {
		m := &s.batch.messages[i]
		var err error
		switch m.kind {
		case 'P':
			err = s.analyzeParse(m)
		case 'B':
			err = s.analyzeBind(r, m)
		case 'C', 'D':
			err = s.analyzeDescribeOrClose(m)
		case 'E':
			err = s.analyzeExecute(m)
		}
		if err != nil {
			s.discardChanges()
			return err
		}
	}
	return nil
}

// analyzeParse checks the statement of a Parse and adds it to the session.
func (s *session) analyzeParse(m *message) error {
	name, statement, err := decodeParse(s.batch.body(*m))
	if err != nil {
		return err
	}
	if len(name) > 0 && s.prepared[string(name)] != nil {
		return &Error{Op: "parse", Kind: KindDuplicateStatement, Err: errors.New("a prepared statement of this name already exists")}
	}
	statement.sql, err = s.checkStatements(&statement.class, statement.sql)
	if err != nil {
		return err
	}
	statement.setName()
	s.dropPrepared(string(name))
	if s.preparedSize+statement.size() > s.server.config.MaxMessage {
		return &Error{Op: "parse", Kind: KindUnsupported, Err: errors.New("the session has too many prepared statements")}
	}
	s.prepared[string(name)] = statement
	s.preparedSize += statement.size()
	m.statement = statement
	return nil
}

// dropUnparsed removes the statements whose Parse in this batch didn't complete.
// Otherwise a repeated Parse would be refused as a duplicate.
func (s *session) dropUnparsed() {
	parses := 0
	for _, m := range s.batch.messages {
		if m.kind != 'P' {
			continue
		}
		parses++
		if parses <= s.completedParses {
			continue
		}
		name, _, _ := bytes.Cut(s.batch.body(m), zeroByte)
		if m.statement != nil && s.prepared[string(name)] == m.statement {
			s.dropPrepared(string(name))
		}
	}
}

// dropPrepared removes a prepared statement from the session, if it exists.
func (s *session) dropPrepared(name string) {
	if statement := s.prepared[name]; statement != nil {
		s.preparedSize -= statement.size()
		delete(s.prepared, name)
	}
}

// analyzeDescribeOrClose resolves the statement of a Describe or Close. A closed
// statement is removed from the session only; it stays on the backend connection
// for other sessions.
func (s *session) analyzeDescribeOrClose(m *message) error {
	kind, name, err := decodeObject(s.batch.body(*m))
	if err != nil || kind != 'S' {
		return err
	}
	m.statement = s.prepared[string(name)]
	if m.kind == 'C' {
		s.dropPrepared(string(name))
	}
	return nil
}

// analyzeBind resolves the statement of a Bind and counts it as part of the
// request.
func (s *session) analyzeBind(r *request, m *message) error {
	portal, name, _, err := decodeBind(s.batch.body(*m))
	if err != nil {
		return err
	}
	m.statement = s.prepared[string(name)]
	s.bindPortal(portal, m.statement)
	if m.statement != nil {
		r.addClassification(&m.statement.class)
	}
	return nil
}

// bindPortal records which statement a portal runs, if the statement changes the
// session state.
func (s *session) bindPortal(portal []byte, statement *preparedStatement) {
	if statement == nil || !statement.class.changesSession() {
		delete(s.portals, string(portal))
		return
	}
	if s.portals == nil {
		s.portals = make(map[string]*preparedStatement)
	}
	s.portals[string(portal)] = statement
}

// analyzeExecute records the changes of the session state that a portal makes. A
// portal that is bound but not executed changes nothing.
func (s *session) analyzeExecute(m *message) error {
	portal, _, found := bytes.Cut(s.batch.body(*m), zeroByte)
	if !found {
		return malformedError("Execute")
	}
	if statement := s.portals[string(portal)]; statement != nil {
		s.recordChanges(&statement.class)
	}
	return nil
}

// send writes the request to the backend connection and records the replies to
// expect.
func (s *session) send(r *request, conn *backend.Conn) error {
	if r.simpleQuery {
		conn.SetUnnamedStatement("")
		return sendParts(conn, 'Q', []byte(r.sql), []byte{0})
	}
	for _, m := range s.batch.messages {
		if err := s.sendMessage(conn, m); err != nil {
			return err
		}
	}
	if r.endsWithSync {
		return sendParts(conn, 'S')
	}
	return sendParts(conn, 'H')
}

// sendMessage sends one message of the batch. Statement names are replaced by those
// on the backend connection.
func (s *session) sendMessage(conn *backend.Conn, m message) error {
	body := s.batch.body(m)
	switch m.kind {
	case 'P':
		return s.sendParse(conn, body[0] == 0, m.statement)
	case 'B':
		return s.sendBind(conn, body, m.statement)
	case 'C':
		return s.sendClose(conn, body)
	case 'D':
		return s.sendDescribe(conn, body, m.statement)
	}
	s.pendingReply = append(s.pendingReply, pendingReply{kind: m.kind})
	return conn.Send(s.batch.raw(m))
}

// sendParse sends a Parse of the caller, unless the statement already exists on the
// connection.
func (s *session) sendParse(conn *backend.Conn, unnamed bool, statement *preparedStatement) error {
	if !unnamed && conn.HasPrepared(statement.name) {
		s.pendingReply = append(s.pendingReply, pendingReply{kind: 'P', local: true})
		return nil
	}
	return s.sendNewParse(conn, unnamed, statement, false)
}

// sendNewParse sends a Parse that creates the statement on the connection, under
// its backend name or as the unnamed statement.
func (s *session) sendNewParse(conn *backend.Conn, unnamed bool, statement *preparedStatement, injected bool) error {
	backendName := statement.name
	if unnamed {
		backendName = ""
		conn.SetUnnamedStatement(statement.name)
	} else {
		conn.SetPrepared(backendName, true)
	}
	s.pendingReply = append(s.pendingReply, pendingReply{injected: injected, kind: 'P', name: backendName})
	return sendParts(conn, 'P', []byte(backendName), []byte{0}, []byte(statement.sql), []byte{0}, statement.parameterTypes)
}

// ensureParsed returns the name of a statement on the connection and parses it
// there first if needed. An unknown name is passed on unchanged, so that the server
// returns the error.
func (s *session) ensureParsed(conn *backend.Conn, name []byte, statement *preparedStatement) (string, error) {
	if statement == nil {
		return string(name), nil
	}
	if len(name) == 0 {
		if conn.UnnamedStatement() != statement.name {
			return "", s.sendNewParse(conn, true, statement, true)
		}
		return "", nil
	}
	if !conn.HasPrepared(statement.name) {
		return statement.name, s.sendNewParse(conn, false, statement, true)
	}
	return statement.name, nil
}

// sendBind sends a Bind with the statement's name on the connection.
func (s *session) sendBind(conn *backend.Conn, body []byte, statement *preparedStatement) error {
	portalName, name, rest, err := decodeBind(body)
	if err != nil {
		return err
	}
	backendName, err := s.ensureParsed(conn, name, statement)
	if err != nil {
		return err
	}
	s.pendingReply = append(s.pendingReply, pendingReply{kind: 'B'})
	return sendParts(conn, 'B', portalName, zeroByte, []byte(backendName), zeroByte, rest)
}

// sendClose forwards the Close of a portal. The Close of a statement is answered by
// the proxy, since other sessions may use the statement.
func (s *session) sendClose(conn *backend.Conn, body []byte) error {
	if body[0] == 'P' {
		s.pendingReply = append(s.pendingReply, pendingReply{kind: 'C'})
		return sendParts(conn, 'C', body)
	}
	s.pendingReply = append(s.pendingReply, pendingReply{kind: 'C', local: true})
	return nil
}

// sendDescribe sends a Describe with the statement's name on the connection.
func (s *session) sendDescribe(conn *backend.Conn, body []byte, statement *preparedStatement) error {
	kind, name, err := decodeObject(body)
	if err != nil {
		return err
	}
	if kind == 'P' {
		s.pendingReply = append(s.pendingReply, pendingReply{kind: 'D'})
		return sendParts(conn, 'D', body)
	}
	backendName, err := s.ensureParsed(conn, name, statement)
	if err != nil {
		return err
	}
	s.pendingReply = append(s.pendingReply, pendingReply{kind: 'D'})
	return sendParts(conn, 'D', body[:1], []byte(backendName), zeroByte)
}

var zeroByte = []byte{0}

// sendLocalReplies sends the replies at the head of the queue that the proxy
// generates itself.
func (s *session) sendLocalReplies() {
	done := 0
	for done < len(s.pendingReply) && s.pendingReply[done].local {
		complete := byte('1')
		if s.pendingReply[done].kind == 'C' {
			complete = '3'
		}
		var raw [headerSize]byte
		copy(raw[:], []byte{complete, 0, 0, 0, 4})
		if len(s.heldMessages) > 0 {
			s.heldMessages = append(s.heldMessages, raw[:]...)
		} else {
			_ = s.writer.Raw(raw[:])
		}
		done++
	}
	s.popReplies(done)
}

// consumeReply removes a pending reply from the queue if a message of this type
// completes it. It reports whether the message must not be relayed, because the
// proxy injected the request for it.
func (s *session) consumeReply(kind byte) bool {
	switch kind {
	case '1', '2', '3', 'C', 'I', 'T', 'n', 's':
		// ParseComplete, BindComplete, CloseComplete, CommandComplete,
		// EmptyQueryResponse, RowDescription, NoData, PortalSuspended
	default:
		return false
	}
	if len(s.pendingReply) == 0 {
		return false
	}
	head := s.pendingReply[0]
	if kind == 'T' && head.kind != 'D' {
		return false
	}
	s.popReplies(1)
	return head.injected
}

// popReplies removes the first n pending replies and counts completed Parses of the
// caller.
func (s *session) popReplies(n int) {
	for _, done := range s.pendingReply[:n] {
		if done.kind == 'P' && !done.injected {
			s.completedParses++
		}
	}
	if n > 0 {
		s.pendingReply = s.pendingReply[:copy(s.pendingReply, s.pendingReply[n:])]
	}
}

// unmarkUnparsed records that the statements whose Parse didn't complete don't
// exist on the connection. After an error the server skips the rest of the batch.
func (s *session) unmarkUnparsed(conn *backend.Conn) {
	for _, pendingReply := range s.pendingReply {
		if pendingReply.kind != 'P' || pendingReply.local {
			continue
		}
		if pendingReply.name == "" {
			conn.SetUnnamedStatement("")
			continue
		}
		conn.SetPrepared(pendingReply.name, false)
	}
	s.pendingReply = s.pendingReply[:0]
}

// deallocateAll deallocates all prepared statements of a connection.
func (s *session) deallocateAll(conn *backend.Conn) error {
	conn.ClearPrepared()
	return conn.Exec("DEALLOCATE ALL")
}

// serveLostTransaction answers a request in a transaction whose backend connection
// was lost. It accepts only a COMMIT or ROLLBACK, which it answers with ROLLBACK.
func (s *session) serveLostTransaction(r *request) error {
	if r.simpleQuery && isTransactionEnd(r.sql) {
		s.transactionLost = false
		s.txStatus = backend.TxIdle
		_ = s.writer.Message(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return s.sendReady(false)
	}
	ended := false
	for _, m := range s.batch.messages {
		switch m.kind {
		case 'P':
			s.completedParses++
			_ = s.writer.Message(&pgproto3.ParseComplete{})
		case 'B':
			if m.statement == nil || !isTransactionEnd(m.statement.sql) {
				return s.refuseInLostTransaction(r)
			}
			_ = s.writer.Message(&pgproto3.BindComplete{})
		case 'C':
			_ = s.writer.Message(&pgproto3.CloseComplete{})
		case 'D':
			_ = s.writer.Message(&pgproto3.NoData{})
		case 'E':
			ended = true
			_ = s.writer.Message(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		}
	}
	if !ended {
		return s.refuseInLostTransaction(r)
	}
	s.transactionLost = false
	s.txStatus = backend.TxIdle
	if !r.endsWithSync {
		return s.writer.Flush()
	}
	return s.sendReady(false)
}

// refuseInLostTransaction refuses a request as PostgreSQL does in a failed
// transaction.
func (s *session) refuseInLostTransaction(r *request) error {
	s.discardChanges()
	failure := errorResponse(lostError("current transaction is aborted, commands ignored until end of transaction block"), "ERROR")
	failure.Code = "25P02"
	_ = s.writer.Message(failure)
	if r.endsWithSync {
		return s.sendReady(false)
	}
	s.skippingToSync = true
	return s.writer.Flush()
}

// isTransactionEnd reports whether the SQL text is a single COMMIT or ROLLBACK.
func isTransactionEnd(sql string) bool {
	class := Classify(sql)
	return len(class.Rest) == 0 && (class.First.Verb == VerbCommit || class.First.Verb == VerbRollback)
}
