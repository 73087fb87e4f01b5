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

// ControlApplicationName is the application name that marks control connections.
// Their statements take no slot, and they do not count towards the connection
// limit.
const ControlApplicationName = "nutmegpier-control"

// Names of settings.
const (
	settingApplicationName = "application_name"
	settingGroupPosition   = "group_position"
)

// serverParameters are the parameters that a server reports at start-up.
var serverParameters = []pgproto3.ParameterStatus{
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
	backend       *pgproto3.Backend
	cancelContext context.CancelFunc
	conn          net.Conn
	// control is true for a control connection.
	control bool
	// countedInLimit is true if the connection counts towards the limit.
	countedInLimit bool
	ctx            context.Context
	pid            uint32
	portals        map[string]*portal
	// position is the log position of the session's latest commit, or the applied
	// position at its latest read on a server that is not the primary.
	position fleet.Position
	prepared map[string]*preparedStatement
	// reportedPosition is the position that was last sent to the client.
	reportedPosition fleet.Position
	secretKey        []byte
	server           *Server
	// startupParameters are the settings from the start-up message, which RESET
	// restores.
	startupParameters map[string]string
	tx                *transaction

	// mu guards the fields below, which other goroutines access too.
	mu              sync.Mutex
	cancelStatement context.CancelFunc
	settings        map[string]string
}

// errClosed ends a session without an error message to the client.
var errClosed = errors.New("connection closed")

func (s *Server) newSession(conn net.Conn) *session {
	ctx, cancel := context.WithCancel(s.group.ctx)
	c := &session{
		cancelContext:     cancel,
		conn:              conn,
		ctx:               ctx,
		portals:           make(map[string]*portal),
		prepared:          make(map[string]*preparedStatement),
		server:            s,
		settings:          make(map[string]string),
		startupParameters: make(map[string]string),
	}
	if conn != nil {
		c.backend = pgproto3.NewBackend(conn, conn)
	}
	c.secretKey = make([]byte, 4)
	rand.Read(c.secretKey)
	return c
}

// serve handles one connection until it ends.
func (s *Server) serve(conn net.Conn) {
	c := s.newSession(conn)
	s.register(c)
	defer s.unregister(c)
	if !s.isRunning() || s.group.ctx.Err() != nil {
		return
	}
	if err := c.openSession(); err != nil {
		c.sendFatal(err)
		return
	}
	if err := c.serveMessages(); err != nil {
		c.sendFatal(err)
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
		// The connection is closed, so the error cannot be reported.
		_ = s.rollback(c.tx)
		s.unregisterTransaction(c.tx)
	}
	c.cancelContext()
	c.conn.Close()
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	delete(s.sessions, c.pid)
	if c.countedInLimit {
		s.connections--
	}
}

// reserveConnection counts a connection towards the limit, or refuses it if the
// limit is reached.
func (s *Server) reserveConnection(c *session) error {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	if s.connections >= s.group.options.ConnectionLimit {
		return newSQLError(codeTooManyConnections, "sorry, too many clients already")
	}
	s.connections++
	c.countedInLimit = true
	return nil
}

// sendFatal reports an error that ends the session to the client, if it has a
// SQLSTATE code.
func (c *session) sendFatal(err error) {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		return
	}
	c.backend.Send(errorResponse("FATAL", sqlErr))
	// The error is ignored: the caller closes the connection in any case.
	_ = c.backend.Flush()
}

// awaitReachable waits while the server is not running or is paused, or while the
// client is blocked.
func (c *session) awaitReachable() error {
	err := c.server.waitFor(c.ctx, func() bool {
		return c.server.running && !c.server.paused && !c.server.isClientBlocked(c.applicationName())
	})
	if err != nil {
		return errClosed
	}
	return nil
}

// openSession reads the start-up message, enforces the connection limit and
// authenticates the client.
func (c *session) openSession() error {
	message, err := c.receiveStartup()
	if err != nil {
		return err
	}
	for name, value := range message.Parameters {
		if name != "user" && name != "database" {
			c.startupParameters[name] = value
		}
	}
	c.resetSettings()
	c.control = c.applicationName() == ControlApplicationName
	if err := c.awaitReachable(); err != nil {
		return err
	}
	if !c.control {
		if err := c.server.reserveConnection(c); err != nil {
			return err
		}
	}
	if err := c.sleep(c.ctx, c.server.group.options.ConnectDelay); err != nil {
		return errClosed
	}
	if err := c.authenticate(message.Parameters["user"]); err != nil {
		return err
	}
	return c.sendStartupResponse()
}

// receiveStartup returns the start-up message. It declines encryption requests and
// handles cancel requests.
func (c *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errClosed
		}
		if err := c.awaitReachable(); err != nil {
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

// cancelSession cancels the running statement of a session if the secret key
// matches.
func (s *Server) cancelSession(pid uint32, secretKey []byte) {
	s.sessionsMu.Lock()
	c := s.sessions[pid]
	s.sessionsMu.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secretKey, secretKey) != 1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelStatement != nil {
		c.cancelStatement()
	}
}

func (c *session) sendStartupResponse() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for i := range serverParameters {
		c.backend.Send(&serverParameters[i])
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: settingApplicationName, Value: c.applicationName()})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secretKey})
	return c.sendReady()
}

// serveMessages handles messages until the client terminates the session. After
// an error in the extended protocol it skips all messages up to the next Sync.
func (c *session) serveMessages() error {
	skipping := false
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return errClosed
		}
		if err := c.awaitReachable(); err != nil {
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
			err = c.handleSync()
		case *pgproto3.Flush:
			err = c.flush()
		default:
			var sqlErr *sqlError
			err = c.handleExtended(message)
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

// flush sends the buffered messages as soon as the client is reachable.
func (c *session) flush() error {
	if err := c.awaitReachable(); err != nil {
		return err
	}
	if err := c.backend.Flush(); err != nil {
		return errClosed
	}
	return nil
}

// sendReady ends the response to a request: it reports the position if it has
// changed, and the transaction status.
func (c *session) sendReady() error {
	if c.position != c.reportedPosition && !c.control {
		c.reportedPosition = c.position
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

// handleSync handles a Sync message: it ends the implicit transaction.
func (c *session) handleSync() error {
	if err := c.endImplicitTransaction(); err != nil {
		var sqlErr *sqlError
		if !errors.As(err, &sqlErr) {
			return err
		}
		c.sendError(sqlErr)
	}
	if c.tx == nil {
		clear(c.portals)
	}
	return c.sendReady()
}

// statementContext returns a context that a cancel request cancels.
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
