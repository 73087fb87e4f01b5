package backend

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// ControlApplicationName is the application name of control connections. Backend
// servers recognize control connections by it.
const ControlApplicationName = "nutmegpier-control"

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ControlConfig holds the settings of the control connections to one backend
// server.
type ControlConfig struct {
	// Address is the server's address in the form "ip:port".
	Address string
	// Database is the name of the database.
	Database string
	// Dial opens connections. It must not be nil.
	Dial Dial
	// Password and User are the proxy's own credentials.
	Password string
	User     string
}

// Control implements group.Control over control connections to one backend server.
// It connects on first use, and reconnects after a connection has failed.
type Control struct {
	// commands runs all other calls. It includes fences without a drain, because
	// the connection is already open for status calls when a promotion is urgent.
	commands *controlConn
	// drainFences runs fences with a drain, which would block other calls.
	drainFences *controlConn
	// waits runs Wait, which would block other calls.
	waits *controlConn
}

var _ group.Control = &Control{}

// NewControl returns the control of one backend server. It does not connect yet.
func NewControl(config ControlConfig) (*Control, error) {
	if config.Dial == nil {
		return nil, &Error{Err: errors.New("the dial function is missing"), Kind: KindConnection, Op: "new control"}
	}
	pg, err := controlPgConfig(config)
	if err != nil {
		return nil, &Error{Err: err, Kind: KindConnection, Op: "new control"}
	}
	return &Control{commands: newControlConn(pg), drainFences: newControlConn(pg), waits: newControlConn(pg)}, nil
}

// controlPgConfig returns the pgconn configuration of the control connections. It
// takes no settings from environment variables.
func controlPgConfig(config ControlConfig) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(config.Address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("parse port of address %q: %w", config.Address, err)
	}
	// A Config can only be created by ParseConfig, which reads environment
	// variables. All values are therefore replaced below.
	pg, err := pgconn.ParseConfig("host=" + host + " sslmode=disable")
	if err != nil {
		return nil, err
	}
	pg.ConnectTimeout = 0
	pg.Database = config.Database
	pg.DialFunc = pgconn.DialFunc(config.Dial)
	pg.Fallbacks = nil
	pg.Host = host
	pg.Password = config.Password
	pg.Port = uint16(port)
	pg.RuntimeParams = map[string]string{"application_name": ControlApplicationName}
	pg.TLSConfig = nil
	pg.User = config.User
	pg.ValidateConnect = nil
	return pg, nil
}

// Close closes the connections. Later calls reopen them.
func (c *Control) Close(ctx context.Context) {
	c.commands.close(ctx)
	c.drainFences.close(ctx)
	c.waits.close(ctx)
}

// Fence asks the server to promise the term to the holder once its running write
// transactions have finished or drain has passed. It reports whether the promise
// was granted.
func (c *Control) Fence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, drain time.Duration) (bool, group.ServerStatus, error) {
	sql := fmt.Sprintf("CALL group_fence(%d, %s, %d)", term, quoteLiteral(string(holder)), drain.Milliseconds())
	conn := c.commands
	if drain > 0 {
		conn = c.drainFences
	}
	names, values, err := conn.queryRow(ctx, "fence", sql)
	if err != nil {
		return false, group.ServerStatus{}, err
	}
	granted, status, err := parseFenceRow(names, values)
	if err != nil {
		return false, group.ServerStatus{}, &Error{Err: err, Kind: KindProtocol, Op: "fence"}
	}
	return granted, status, nil
}

// Promote makes the server the primary of a term that it promised to the holder.
func (c *Control) Promote(ctx context.Context, term fleet.Term, holder fleet.InstanceID) (group.ServerStatus, error) {
	sql := fmt.Sprintf("CALL group_promote(%d, %s)", term, quoteLiteral(string(holder)))
	return c.commands.status(ctx, "promote", sql)
}

// Status returns the server's current status.
func (c *Control) Status(ctx context.Context) (group.ServerStatus, error) {
	return c.commands.status(ctx, "status", "SHOW group_status")
}

// Wait returns the status once the server has received the position in the
// position's term, once it has promised a later term, or after the timeout.
func (c *Control) Wait(ctx context.Context, position fleet.Position, timeout time.Duration) (group.ServerStatus, error) {
	sql := fmt.Sprintf("CALL group_wait(%d, %d, %d)", position.Term, position.Log, timeout.Milliseconds())
	return c.waits.status(ctx, "wait", sql)
}

// quoteLiteral returns the text as an SQL string literal.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// controlConn is one control connection. It runs one call at a time.
type controlConn struct {
	config *pgconn.Config
	// conn is nil until the first call and after a failed attempt to connect.
	conn *pgconn.PgConn
	// sem is a semaphore of capacity one that guards conn.
	sem chan struct{}
}

func newControlConn(config *pgconn.Config) *controlConn {
	return &controlConn{config: config, sem: make(chan struct{}, 1)}
}

func (c *controlConn) close(ctx context.Context) {
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	if c.conn != nil {
		// The error is ignored, because the connection is not used again.
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

// status runs a call that returns a status row.
func (c *controlConn) status(ctx context.Context, op, sql string) (group.ServerStatus, error) {
	names, values, err := c.queryRow(ctx, op, sql)
	if err != nil {
		return group.ServerStatus{}, err
	}
	status, err := ParseStatusRow(names, values)
	if err != nil {
		return group.ServerStatus{}, &Error{Err: err, Kind: KindProtocol, Op: op}
	}
	return status, nil
}

// queryRow runs a call that returns one row, and returns its column names and
// values.
func (c *controlConn) queryRow(ctx context.Context, op, sql string) ([]string, []string, error) {
	select {
	case c.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, &Error{Err: ctx.Err(), Kind: KindConnection, Op: op}
	}
	defer func() { <-c.sem }()
	if err := c.connect(ctx); err != nil {
		return nil, nil, &Error{Err: err, Kind: KindConnection, Op: op}
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, nil, &Error{Err: err, Kind: errorKind(err), Op: op}
	}
	names, values, err := singleRow(results)
	if err != nil {
		return nil, nil, &Error{Err: err, Kind: KindProtocol, Op: op}
	}
	return names, values, nil
}

// connect opens the connection if there is none or it has failed. sem must be
// held.
func (c *controlConn) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	c.conn = nil
	conn, err := pgconn.ConnectConfig(ctx, c.config)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// errorKind tells an error response of the server from a failed connection.
func errorKind(err error) Kind {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return KindServer
	}
	return KindConnection
}

// singleRow returns the column names and values of the only row of the only result.
func singleRow(results []*pgconn.Result) (names, values []string, err error) {
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return nil, nil, errors.New("the response is not one result with one row")
	}
	for i, field := range results[0].FieldDescriptions {
		if results[0].Rows[0][i] == nil {
			return nil, nil, fmt.Errorf("column %s is NULL", field.Name)
		}
		names = append(names, field.Name)
		values = append(values, string(results[0].Rows[0][i]))
	}
	return names, values, nil
}

// grantedColumn is the first column of the row that a fence call returns.
const grantedColumn = "granted"

// parseFenceRow parses the row of a fence call.
func parseFenceRow(names, values []string) (bool, group.ServerStatus, error) {
	if len(names) == 0 || len(values) != len(names) || names[0] != grantedColumn {
		return false, group.ServerStatus{}, errors.New(`the first column of the row is not "granted"`)
	}
	if values[0] != "t" && values[0] != "f" {
		return false, group.ServerStatus{}, fmt.Errorf(`column "granted" has the value %q, want t or f`, values[0])
	}
	status, err := ParseStatusRow(names[1:], values[1:])
	return values[0] == "t", status, err
}

// statusColumns are the columns of a status row, in order.
var statusColumns = []string{
	"server", "role", "term", "promised_term", "promised_to", "log_term", "log_position", "applied_term",
	"applied_position", "primary_contact_ms", "history", "connections", "connection_limit",
}

// Indexes of the columns of a status row.
const (
	statusServer = iota
	statusRole
	statusTerm
	statusPromisedTerm
	statusPromisedTo
	statusLogTerm
	statusLogPosition
	statusAppliedTerm
	statusAppliedPosition
	statusPrimaryContact
	statusHistory
	statusConnections
	statusConnectionLimit
)

// ParseStatusRow parses the column names and values of a status row. All columns
// must be present, in order.
func ParseStatusRow(names, values []string) (group.ServerStatus, error) {
	if len(names) != len(statusColumns) || len(values) != len(names) {
		return group.ServerStatus{}, fmt.Errorf("status row has %d columns and %d values, want %d", len(names), len(values), len(statusColumns))
	}
	for i, name := range names {
		if name != statusColumns[i] {
			return group.ServerStatus{}, fmt.Errorf("status column %d is %q, want %q", i+1, name, statusColumns[i])
		}
	}
	p := &statusParser{values: values}
	status := group.ServerStatus{
		Applied:         fleet.Position{Log: fleet.LogPosition(p.number(statusAppliedPosition, math.MaxUint64)), Term: p.term(statusAppliedTerm)},
		ConnectionLimit: int(p.number(statusConnectionLimit, math.MaxInt32)),
		Connections:     int(p.number(statusConnections, math.MaxInt32)),
		History:         p.history(statusHistory),
		Log:             fleet.Position{Log: fleet.LogPosition(p.number(statusLogPosition, math.MaxUint64)), Term: p.term(statusLogTerm)},
		PrimaryContact:  time.Duration(p.number(statusPrimaryContact, uint64(math.MaxInt64/time.Millisecond))) * time.Millisecond,
		PromisedTerm:    p.term(statusPromisedTerm),
		PromisedTo:      fleet.InstanceID(values[statusPromisedTo]),
		Role:            p.role(statusRole),
		Server:          fleet.ServerID(values[statusServer]),
		Term:            p.term(statusTerm),
	}
	if p.err != nil {
		return group.ServerStatus{}, p.err
	}
	return status, checkStatus(status)
}

// checkStatus checks that the fields of a status are consistent.
func checkStatus(s group.ServerStatus) error {
	switch {
	case s.Server == "":
		return errors.New("the status contains no server ID")
	case s.Applied.Log > s.Log.Log:
		return fmt.Errorf("applied position %v is beyond the log end %v", s.Applied, s.Log)
	case s.History.LastTerm() != s.Log.Term:
		return fmt.Errorf("history %v does not end in the log's term %d", s.History, s.Log.Term)
	}
	return nil
}

// statusParser parses the values of a status row and keeps the first error.
type statusParser struct {
	err    error
	values []string
}

func (p *statusParser) fail(column int, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("status column %s: %w", statusColumns[column], fmt.Errorf(format, args...))
	}
}

func (p *statusParser) history(column int) fleet.History {
	history, err := fleet.ParseHistory(p.values[column])
	if err != nil {
		p.fail(column, "%w", err)
	}
	return history
}

func (p *statusParser) number(column int, maximum uint64) uint64 {
	n, err := strconv.ParseUint(p.values[column], 10, 64)
	switch {
	case err != nil:
		p.fail(column, "%w", err)
	case n > maximum:
		p.fail(column, "%d exceeds the maximum of %d", n, maximum)
	}
	return n
}

func (p *statusParser) role(column int) group.Role {
	switch role := group.Role(p.values[column]); role {
	case group.RoleFenced, group.RolePrimary, group.RoleReplica:
		return role
	}
	p.fail(column, "unknown role %q", p.values[column])
	return ""
}

func (p *statusParser) term(column int) fleet.Term {
	return fleet.Term(p.number(column, math.MaxUint64))
}
