// Package backend speaks to backend servers as a PostgreSQL client.
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

// ControlApplicationName is the application name by which a backend server
// recognizes a control connection.
const ControlApplicationName = "nutmegpier-control"

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ControlConfig says how to reach one backend server.
type ControlConfig struct {
	// Address is "ip:port" of the server.
	Address string
	// Database is the name of the database.
	Database string
	// Dial opens connections. It must not be nil.
	Dial Dial
	// Password and User are the proxy's own credentials.
	Password string
	User     string
}

// Control is a group.Control over control connections to one backend server.
// It connects when it is first used and again after a connection broke. Waits
// and fences with a drain use connections of their own, so that they don't
// hold up other calls. A fence without a drain uses the connection of the
// status calls, which is open when a promotion is urgent.
type Control struct {
	calls  *controlConn
	drains *controlConn
	waits  *controlConn
}

var _ group.Control = &Control{}

// NewControl returns the control of one backend server. It opens no
// connection yet.
func NewControl(config ControlConfig) (*Control, error) {
	if config.Dial == nil {
		return nil, &Error{Err: errors.New("no dial function"), Kind: KindConnection, Op: "new control"}
	}
	pg, err := controlPgConfig(config)
	if err != nil {
		return nil, &Error{Err: err, Kind: KindConnection, Op: "new control"}
	}
	return &Control{calls: newControlConn(pg), drains: newControlConn(pg), waits: newControlConn(pg)}, nil
}

// controlPgConfig returns the settings of the control connections. Nothing is
// taken from the process environment.
func controlPgConfig(config ControlConfig) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(config.Address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port of %q: %w", config.Address, err)
	}
	// ParseConfig is the only way to make a Config. All values are replaced.
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

// Close closes the connections. A later call opens them again.
func (c *Control) Close(ctx context.Context) {
	c.calls.close(ctx)
	c.drains.close(ctx)
	c.waits.close(ctx)
}

// Fence asks the server to promise the term to the holder.
func (c *Control) Fence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, drain time.Duration) (bool, group.ServerStatus, error) {
	sql := fmt.Sprintf("CALL group_fence(%d, %s, %d)", term, quoteLiteral(string(holder)), drain.Milliseconds())
	conn := c.calls
	if drain > 0 {
		conn = c.drains
	}
	names, values, err := conn.row(ctx, "fence", sql)
	if err != nil {
		return false, group.ServerStatus{}, err
	}
	granted, status, err := parseFenceRow(names, values)
	if err != nil {
		return false, group.ServerStatus{}, &Error{Err: err, Kind: KindProtocol, Op: "fence"}
	}
	return granted, status, nil
}

// Promote makes the server the primary of a term that is promised to the holder.
func (c *Control) Promote(ctx context.Context, term fleet.Term, holder fleet.InstanceID) (group.ServerStatus, error) {
	sql := fmt.Sprintf("CALL group_promote(%d, %s)", term, quoteLiteral(string(holder)))
	return c.calls.status(ctx, "promote", sql)
}

// Status returns the server's current status.
func (c *Control) Status(ctx context.Context) (group.ServerStatus, error) {
	return c.calls.status(ctx, "status", "SHOW group_status")
}

// Wait returns the status when the received log covers the position in its
// term, when the promised term has passed the position's term, or after the
// timeout.
func (c *Control) Wait(ctx context.Context, position fleet.Position, timeout time.Duration) (group.ServerStatus, error) {
	sql := fmt.Sprintf("CALL group_wait(%d, %d, %d)", position.Term, position.Log, timeout.Milliseconds())
	return c.waits.status(ctx, "wait", sql)
}

// quoteLiteral returns the text as an SQL literal.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// controlConn is one control connection. It runs one call at a time.
type controlConn struct {
	config *pgconn.Config
	conn   *pgconn.PgConn
	// turn holds one token. Its holder uses the connection.
	turn chan struct{}
}

func newControlConn(config *pgconn.Config) *controlConn {
	return &controlConn{config: config, turn: make(chan struct{}, 1)}
}

func (c *controlConn) close(ctx context.Context) {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	if c.conn != nil {
		// The connection is not used again, whatever the error.
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

// status runs a call that returns a status row.
func (c *controlConn) status(ctx context.Context, op, sql string) (group.ServerStatus, error) {
	names, values, err := c.row(ctx, op, sql)
	if err != nil {
		return group.ServerStatus{}, err
	}
	status, err := ParseStatusRow(names, values)
	if err != nil {
		return group.ServerStatus{}, &Error{Err: err, Kind: KindProtocol, Op: op}
	}
	return status, nil
}

// row runs a call that returns one row, and returns its names and values.
func (c *controlConn) row(ctx context.Context, op, sql string) ([]string, []string, error) {
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, &Error{Err: ctx.Err(), Kind: KindConnection, Op: op}
	}
	defer func() { <-c.turn }()
	if err := c.connect(ctx); err != nil {
		return nil, nil, &Error{Err: err, Kind: KindConnection, Op: op}
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, nil, &Error{Err: err, Kind: kindOf(err), Op: op}
	}
	names, values, err := singleRow(results)
	if err != nil {
		return nil, nil, &Error{Err: err, Kind: KindProtocol, Op: op}
	}
	return names, values, nil
}

// connect opens the connection if there is none or it broke.
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

func kindOf(err error) Kind {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return KindServer
	}
	return KindConnection
}

// singleRow returns the only row of the only result.
func singleRow(results []*pgconn.Result) (names, values []string, err error) {
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return nil, nil, errors.New("want one result with one row")
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

// grantedColumn is the first column of the answer to a fence call.
const grantedColumn = "granted"

// parseFenceRow parses the row of a fence call.
func parseFenceRow(names, values []string) (bool, group.ServerStatus, error) {
	if len(names) == 0 || len(values) != len(names) || names[0] != grantedColumn {
		return false, group.ServerStatus{}, errors.New("the first column is not granted")
	}
	if values[0] != "t" && values[0] != "f" {
		return false, group.ServerStatus{}, fmt.Errorf("column granted: want t or f, got %q", values[0])
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

// ParseStatusRow parses the names and values of a status row. Each column must
// be there, in order.
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

// checkStatus reports contradictions inside a status.
func checkStatus(s group.ServerStatus) error {
	switch {
	case s.Server == "":
		return errors.New("status without a server id")
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

func (p *statusParser) number(column int, largest uint64) uint64 {
	n, err := strconv.ParseUint(p.values[column], 10, 64)
	switch {
	case err != nil:
		p.fail(column, "%w", err)
	case n > largest:
		p.fail(column, "%d is larger than %d", n, largest)
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
