package standin

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// ControlApplicationName is the application name of control connections. They
// take no slot and are not counted in the connection limit.
const ControlApplicationName = "nutmegpier-control"

// Settings that a session starts with.
const (
	settingApplicationName = "application_name"
	settingGroupPosition   = "group_position"
)

// startSettings are the values that a server reports at start-up.
var startSettings = []pgproto3.ParameterStatus{
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "server_version", Value: "16.0"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}

// session is one connection to a server.
type session struct {
	backend   *pgproto3.Backend
	cancelAll context.CancelFunc
	conn      net.Conn
	control   bool
	counted   bool
	ctx       context.Context
	pid       uint32
	portals   map[string]*portal
	// position is the newest position that a statement of the session gave.
	position fleet.Position
	prepared map[string]*preparedStatement
	// reported is the position last sent to the client.
	reported fleet.Position
	secret   []byte
	server   *Server
	// startup are the settings of the start-up message, for RESET.
	startup map[string]string
	tx      *transaction

	// mu guards the fields below, which other goroutines use.
	mu              sync.Mutex
	cancelStatement context.CancelFunc
	settings        map[string]string
}

// errClosed ends a session without an error message.
var errClosed = errors.New("connection closed")

func (s *Server) newSession(conn net.Conn) *session {
	ctx, cancel := context.WithCancel(s.group.ctx)
	c := &session{
		cancelAll: cancel,
		conn:      conn,
		ctx:       ctx,
		portals:   make(map[string]*portal),
		prepared:  make(map[string]*preparedStatement),
		server:    s,
		settings:  make(map[string]string),
		startup:   make(map[string]string),
	}
	if conn != nil {
		c.backend = pgproto3.NewBackend(conn, conn)
	}
	c.secret = make([]byte, 4)
	rand.Read(c.secret)
	return c
}

// serve runs one connection.
func (s *Server) serve(conn net.Conn) {
	c := s.newSession(conn)
	s.register(c)
	defer s.unregister(c)
	if !s.isRunning() || s.group.ctx.Err() != nil {
		return
	}
	if err := c.start(); err != nil {
		c.fail(err)
		return
	}
	if err := c.loop(); err != nil {
		c.fail(err)
	}
}

func (s *Server) register(c *session) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	s.nextPID++
	c.pid = s.nextPID
	s.sessions[c.pid] = c
}

func (s *Server) unregister(c *session) {
	if c.tx != nil {
		// The connection is gone, so there is no one to tell.
		_ = s.rollback(c.tx)
		s.endTransaction(c.tx)
	}
	c.cancelAll()
	c.conn.Close()
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	delete(s.sessions, c.pid)
	if c.counted {
		s.connections--
	}
}

// count counts a session connection, if the limit allows it.
func (s *Server) count(c *session) error {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	if s.connections >= s.group.options.ConnectionLimit {
		return newSQLError(codeTooManyConnections, "sorry, too many clients already")
	}
	s.connections++
	c.counted = true
	return nil
}

// fail sends a last error to the client, if there is one to send.
func (c *session) fail(err error) {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		return
	}
	c.backend.Send(errorResponse("FATAL", sqlErr))
	// The connection is closed next, so a failed write changes nothing.
	_ = c.backend.Flush()
}

// gate waits while the server is paused or cut off from the client.
func (c *session) gate() error {
	err := c.server.waitFor(c.ctx, func() bool {
		return c.server.running && !c.server.paused && !c.server.isCut(c.applicationName())
	})
	if err != nil {
		return errClosed
	}
	return nil
}

// start reads the start-up message and authenticates the client.
func (c *session) start() error {
	message, err := c.receiveStartup()
	if err != nil {
		return err
	}
	for name, value := range message.Parameters {
		if name != "user" && name != "database" {
			c.startup[name] = value
		}
	}
	c.resetSettings()
	c.control = c.applicationName() == ControlApplicationName
	if err := c.gate(); err != nil {
		return err
	}
	if !c.control {
		if err := c.server.count(c); err != nil {
			return err
		}
	}
	if err := c.sleep(c.ctx, c.server.group.options.ConnectDelay); err != nil {
		return errClosed
	}
	if err := c.authenticate(message.Parameters["user"]); err != nil {
		return err
	}
	return c.welcome()
}

// receiveStartup answers encryption requests with no and handles cancel requests.
func (c *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errClosed
		}
		if err := c.gate(); err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.CancelRequest:
			c.server.cancelSession(m.ProcessID, m.SecretKey)
			return nil, errClosed
		case *pgproto3.StartupMessage:
			return m, nil
		default:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, errClosed
			}
		}
	}
}

// cancelSession cancels the running statement of a session.
func (s *Server) cancelSession(pid uint32, secret []byte) {
	s.sessionsMu.Lock()
	c := s.sessions[pid]
	s.sessionsMu.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelStatement != nil {
		c.cancelStatement()
	}
}

func (c *session) welcome() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for i := range startSettings {
		c.backend.Send(&startSettings[i])
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: settingApplicationName, Value: c.applicationName()})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	return c.ready()
}

// loop handles messages until the client leaves.
func (c *session) loop() error {
	skipping := false
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return errClosed
		}
		if err := c.gate(); err != nil {
			return err
		}
		if _, isSync := message.(*pgproto3.Sync); skipping && !isSync {
			if _, isEnd := message.(*pgproto3.Terminate); isEnd {
				return nil
			}
			continue
		}
		skipping = false
		switch m := message.(type) {
		case *pgproto3.Terminate:
			return nil
		case *pgproto3.Query:
			err = c.simpleQuery(m.String)
		case *pgproto3.Sync:
			err = c.sync()
		case *pgproto3.Flush:
			err = c.flush()
		default:
			var sqlErr *sqlError
			err = c.extended(message)
			if errors.As(err, &sqlErr) {
				c.sendError(sqlErr)
				skipping, err = true, nil
			}
		}
		if err != nil {
			return err
		}
	}
}

// flush sends buffered messages, once the client can be reached.
func (c *session) flush() error {
	if err := c.gate(); err != nil {
		return err
	}
	if err := c.backend.Flush(); err != nil {
		return errClosed
	}
	return nil
}

// ready ends a request: it reports a new position and the transaction status.
func (c *session) ready() error {
	if c.position != c.reported && !c.control {
		c.reported = c.position
		c.backend.Send(&pgproto3.ParameterStatus{Name: settingGroupPosition, Value: c.position.String()})
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	return c.flush()
}

func (c *session) txStatus() byte {
	switch {
	case c.tx == nil:
		return 'I'
	case c.tx.failed:
		return 'E'
	}
	return 'T'
}

// sendError sends an error and marks the transaction as failed.
func (c *session) sendError(err *sqlError) {
	if c.tx != nil {
		c.tx.failed = true
	}
	c.backend.Send(errorResponse("ERROR", err))
}

func errorResponse(severity string, err *sqlError) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Code:                err.code,
		Message:             err.message,
		Severity:            severity,
		SeverityUnlocalized: severity,
	}
}

// sync ends an extended query.
func (c *session) sync() error {
	if err := c.endImplicit(); err != nil {
		var sqlErr *sqlError
		if !errors.As(err, &sqlErr) {
			return err
		}
		c.sendError(sqlErr)
	}
	if c.tx == nil {
		clear(c.portals)
	}
	return c.ready()
}

// statementContext returns a context that a cancel request ends.
func (c *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancelStatement = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancelStatement = nil
		c.mu.Unlock()
		cancel()
	}
}

// sleep waits for a duration or until the context ends.
func (c *session) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return newSQLError(codeQueryCanceled, "canceling statement due to user request")
	}
}
