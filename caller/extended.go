package caller

import (
	"bytes"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
)

// maxPrepared bounds the prepared statements on one backend connection. More
// are closed when the next session takes the connection.
const maxPrepared = 512

// extended adds a message of the extended protocol to the batch.
func (s *session) extended(kind byte) error {
	body, err := s.reader.Body()
	if err != nil {
		return err
	}
	if s.skipping {
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
	if s.skipping {
		return s.endSkipping(kind)
	}
	if kind == 'H' && len(s.batch.messages) == 0 {
		return nil
	}
	if kind == 'S' && len(s.batch.messages) == 0 && !s.flushOpen() {
		s.takeWriter()
		defer s.giveWriter()
		return s.ready(false)
	}
	r := s.newRequest()
	r.synced = kind == 'S'
	if err := s.include(&r); err != nil {
		s.takeWriter()
		defer s.giveWriter()
		defer s.endRequest()
		s.parsed = 0
		return s.fail(&r, err, s.tx)
	}
	return s.serve(&r)
}

// endSkipping ends a batch of which an error was already reported at a Flush.
func (s *session) endSkipping(kind byte) error {
	if kind == 'H' {
		return nil
	}
	s.skipping = false
	if s.lease == nil {
		s.takeWriter()
		defer s.giveWriter()
		return s.ready(false)
	}
	r := s.newRequest()
	r.synced = true
	return s.serve(&r)
}

// flushOpen reports whether messages were sent with Flush whose Sync is missing.
func (s *session) flushOpen() bool {
	return s.lease != nil && s.lease.Conn().Unsynced()
}

// include finds out what the messages of the batch ask for.
func (s *session) include(r *request) error {
	for i := range s.batch.messages {
		m := &s.batch.messages[i]
		var err error
		switch m.kind {
		case 'P':
			err = s.includeParse(m)
		case 'B':
			err = s.includeBind(r, m)
		case 'C', 'D':
			err = s.includeObject(m)
		case 'E':
			err = s.includeExecute(m)
		}
		if err != nil {
			s.dropChanges()
			return err
		}
	}
	return nil
}

func (s *session) includeParse(m *message) error {
	name, statement, err := parseMessage(s.batch.body(*m))
	if err != nil {
		return err
	}
	if len(name) > 0 && s.prepared[string(name)] != nil {
		return &Error{Op: "parse", Kind: KindDuplicateStatement, Err: errors.New("a prepared statement of this name already exists")}
	}
	statement.sql, err = s.check(&statement.class, statement.sql)
	if err != nil {
		return err
	}
	statement.digest()
	s.dropPrepared(string(name))
	if s.preparedSize+statement.size() > s.server.config.MaxMessage {
		return &Error{Op: "parse", Kind: KindUnsupported, Err: errors.New("the session has too many prepared statements")}
	}
	s.prepared[string(name)] = statement
	s.preparedSize += statement.size()
	m.statement = statement
	return nil
}

// dropUnparsed forgets the statements of the batch whose Parse didn't complete.
// Otherwise a repeated Parse would be refused as a duplicate.
func (s *session) dropUnparsed() {
	parses := 0
	for _, m := range s.batch.messages {
		if m.kind != 'P' {
			continue
		}
		parses++
		if parses <= s.parsed {
			continue
		}
		name, _, _ := bytes.Cut(s.batch.body(m), zeroByte)
		if m.statement != nil && s.prepared[string(name)] == m.statement {
			s.dropPrepared(string(name))
		}
	}
}

// dropPrepared forgets a statement, if there is one of the name.
func (s *session) dropPrepared(name string) {
	if statement := s.prepared[name]; statement != nil {
		s.preparedSize -= statement.size()
		delete(s.prepared, name)
	}
}

// includeObject takes the object of a Describe or Close. A closed statement
// stays on the connection for other sessions.
func (s *session) includeObject(m *message) error {
	kind, name, err := objectName(s.batch.body(*m))
	if err != nil || kind != 'S' {
		return err
	}
	m.statement = s.prepared[string(name)]
	if m.kind == 'C' {
		s.dropPrepared(string(name))
	}
	return nil
}

// includeBind takes the statement of a Bind as one that runs.
func (s *session) includeBind(r *request, m *message) error {
	portal, name, _, err := bindNames(s.batch.body(*m))
	if err != nil {
		return err
	}
	m.statement = s.prepared[string(name)]
	s.bindPortal(portal, m.statement)
	if m.statement != nil {
		r.include(&m.statement.class)
	}
	return nil
}

// bindPortal notes which statement a portal runs, if that changes the session.
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

// includeExecute notes the changes of a portal. A portal that is bound but not
// executed changes nothing.
func (s *session) includeExecute(m *message) error {
	portal, _, found := bytes.Cut(s.batch.body(*m), zeroByte)
	if !found {
		return malformed("Execute")
	}
	if statement := s.portals[string(portal)]; statement != nil {
		s.noteChanges(&statement.class)
	}
	return nil
}

// send writes the request to the connection and notes the answers to expect.
func (s *session) send(r *request, conn *backend.Conn) error {
	if r.simple {
		conn.SetUnnamed("")
		return sendNamed(conn, 'Q', []byte(r.sql), []byte{0})
	}
	for _, m := range s.batch.messages {
		if err := s.sendMessage(conn, m); err != nil {
			return err
		}
	}
	if r.synced {
		return sendNamed(conn, 'S')
	}
	return sendNamed(conn, 'H')
}

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
	s.operation = append(s.operation, operation{kind: m.kind})
	return conn.Send(s.batch.raw(m))
}

// sendParse sends a caller's Parse, unless the connection holds the statement.
func (s *session) sendParse(conn *backend.Conn, unnamed bool, statement *preparedStatement) error {
	if !unnamed && conn.HasPrepared(statement.name) {
		s.operation = append(s.operation, operation{kind: 'P', local: true})
		return nil
	}
	return s.parse(conn, unnamed, statement, false)
}

// parse sends a Parse of a statement under its name for the connection.
func (s *session) parse(conn *backend.Conn, unnamed bool, statement *preparedStatement, injected bool) error {
	on := statement.name
	if unnamed {
		on = ""
		conn.SetUnnamed(statement.name)
	} else {
		conn.SetPrepared(on, true)
	}
	s.operation = append(s.operation, operation{injected: injected, kind: 'P', name: on})
	return sendNamed(conn, 'P', []byte(on), []byte{0}, []byte(statement.sql), []byte{0}, statement.types)
}

// ensureParsed returns the name of a statement on the connection, and parses
// it there first if needed. Unknown names are passed on for the server to refuse.
func (s *session) ensureParsed(conn *backend.Conn, name []byte, statement *preparedStatement) (string, error) {
	if statement == nil {
		return string(name), nil
	}
	if len(name) == 0 {
		if conn.Unnamed() != statement.name {
			return "", s.parse(conn, true, statement, true)
		}
		return "", nil
	}
	if !conn.HasPrepared(statement.name) {
		return statement.name, s.parse(conn, false, statement, true)
	}
	return statement.name, nil
}

func (s *session) sendBind(conn *backend.Conn, body []byte, statement *preparedStatement) error {
	portalName, name, rest, err := bindNames(body)
	if err != nil {
		return err
	}
	on, err := s.ensureParsed(conn, name, statement)
	if err != nil {
		return err
	}
	s.operation = append(s.operation, operation{kind: 'B'})
	return sendNamed(conn, 'B', portalName, zeroByte, []byte(on), zeroByte, rest)
}

func (s *session) sendClose(conn *backend.Conn, body []byte) error {
	if body[0] == 'P' {
		s.operation = append(s.operation, operation{kind: 'C'})
		return sendNamed(conn, 'C', body)
	}
	s.operation = append(s.operation, operation{kind: 'C', local: true})
	return nil
}

func (s *session) sendDescribe(conn *backend.Conn, body []byte, statement *preparedStatement) error {
	kind, name, err := objectName(body)
	if err != nil {
		return err
	}
	if kind == 'P' {
		s.operation = append(s.operation, operation{kind: 'D'})
		return sendNamed(conn, 'D', body)
	}
	on, err := s.ensureParsed(conn, name, statement)
	if err != nil {
		return err
	}
	s.operation = append(s.operation, operation{kind: 'D'})
	return sendNamed(conn, 'D', body[:1], []byte(on), zeroByte)
}

var zeroByte = []byte{0}

// answerLocal answers the operations at the head of the queue that the server
// doesn't see.
func (s *session) answerLocal() {
	done := 0
	for done < len(s.operation) && s.operation[done].local {
		complete := byte('1')
		if s.operation[done].kind == 'C' {
			complete = '3'
		}
		var raw [headerSize]byte
		copy(raw[:], []byte{complete, 0, 0, 0, 4})
		if len(s.held) > 0 {
			s.held = append(s.held, raw[:]...)
		} else {
			_ = s.writer.Raw(raw[:])
		}
		done++
	}
	s.popOperations(done)
}

// isSwallowed takes a message that completes an operation off the queue, and
// reports whether the caller didn't ask for it.
func (s *session) isSwallowed(kind byte) bool {
	switch kind {
	case '1', '2', '3', 'C', 'I', 'T', 'n', 's':
	default:
		return false
	}
	if len(s.operation) == 0 {
		return false
	}
	head := s.operation[0]
	if kind == 'T' && head.kind != 'D' {
		return false
	}
	s.popOperations(1)
	return head.injected
}

func (s *session) popOperations(n int) {
	for _, done := range s.operation[:n] {
		if done.kind == 'P' && !done.injected {
			s.parsed++
		}
	}
	if n > 0 {
		s.operation = s.operation[:copy(s.operation, s.operation[n:])]
	}
}

// forgetFailed takes back that the statements whose Parse didn't complete are
// on the connection. The server skips the rest of the batch after an error.
func (s *session) forgetFailed(conn *backend.Conn) {
	for _, operation := range s.operation {
		if operation.kind != 'P' || operation.local {
			continue
		}
		if operation.name == "" {
			conn.SetUnnamed("")
			continue
		}
		conn.SetPrepared(operation.name, false)
	}
	s.operation = s.operation[:0]
}

// closePrepared removes all statements from a connection that holds too many.
func (s *session) closePrepared(conn *backend.Conn) error {
	conn.Forget()
	return conn.Exec("DEALLOCATE ALL")
}

// serveLost answers a request in a transaction whose connection was lost.
func (s *session) serveLost(r *request) error {
	if r.simple && isTransactionEnd(r.sql) {
		s.lost = false
		s.tx = backend.TxIdle
		_ = s.writer.Message(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return s.ready(false)
	}
	ended := false
	for _, m := range s.batch.messages {
		switch m.kind {
		case 'P':
			s.parsed++
			_ = s.writer.Message(&pgproto3.ParseComplete{})
		case 'B':
			if m.statement == nil || !isTransactionEnd(m.statement.sql) {
				return s.refuseLost(r)
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
		return s.refuseLost(r)
	}
	s.lost = false
	s.tx = backend.TxIdle
	if !r.synced {
		return s.writer.Flush()
	}
	return s.ready(false)
}

func (s *session) refuseLost(r *request) error {
	s.dropChanges()
	failure := response(lostError("current transaction is aborted, commands ignored until end of transaction block"), "ERROR")
	failure.Code = "25P02"
	_ = s.writer.Message(failure)
	if r.synced {
		return s.ready(false)
	}
	s.skipping = true
	return s.writer.Flush()
}

func isTransactionEnd(sql string) bool {
	class := Classify(sql)
	return len(class.Rest) == 0 && (class.First.Verb == VerbCommit || class.First.Verb == VerbRollback)
}
