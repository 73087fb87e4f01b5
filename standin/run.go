package standin

import (
	"context"
	"errors"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/nutmegpier/nutmegpier/group"
)

var (
	backendPIDPattern     = regexp.MustCompile(`(?i)\bpg_backend_pid\(\)`)
	currentSettingPattern = regexp.MustCompile(`(?i)\bcurrent_setting\(\s*'([^']*)'\s*(?:,\s*(?:true|false)\s*)?\)`)
	sleepPattern          = regexp.MustCompile(`(?i)\bpg_sleep\(\s*([\d.]+|\$\d+)[^)]*\)`)
	tempPattern           = regexp.MustCompile(`(?i)^create\s+(temp|temporary)\b`)
	versionPattern        = regexp.MustCompile(`(?i)\b(pg_catalog\.)?version\(\)`)
)

// query is a statement in SQLite's dialect. sleep is the total time of its
// pg_sleep calls, which the engine does not run.
type query struct {
	sleep time.Duration
	sql   string
}

// run runs one statement and returns its whole result.
func (c *session) run(s *statement, args []any) (*resultSet, error) {
	if c.tx != nil && c.tx.failed && s.class != classRollback && s.class != classCommit && !isRollbackTo(s) {
		return nil, newSQLError(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	ctx, done := c.statementContext()
	defer done()
	switch s.class {
	case classBegin:
		return c.runBegin(s)
	case classCall:
		return c.runCall(ctx, s)
	case classCommit:
		return c.runCommit()
	case classCopy:
		return nil, newSQLError(codeFeatureUnsupported, "COPY is supported in simple queries only")
	case classDiscard:
		return c.runDiscard(s)
	case classRead:
		return c.runRead(ctx, s, args)
	case classReset:
		return c.runReset(s)
	case classRollback:
		return c.runRollback()
	case classSavepoint:
		return c.runSavepoint(s)
	case classSet:
		return c.runSet(s)
	case classShow:
		return c.runShow(s)
	case classWrite:
		return c.runWrite(ctx, s, args)
	}
	return &resultSet{}, nil
}

// prepareQuery replaces calls of functions that SQLite does not have by their
// values, and rewrites the statement to SQLite's dialect.
func (c *session) prepareQuery(s *statement, args []any) query {
	var q query
	text := currentSettingPattern.ReplaceAllStringFunc(s.text, func(call string) string {
		return quote(c.setting(currentSettingPattern.FindStringSubmatch(call)[1]))
	})
	text = sleepPattern.ReplaceAllStringFunc(text, func(call string) string {
		q.sleep += sleepTime(sleepPattern.FindStringSubmatch(call)[1], args)
		return "''"
	})
	text = backendPIDPattern.ReplaceAllString(text, strconv.FormatUint(uint64(c.pid), 10))
	text = versionPattern.ReplaceAllString(text, "'PostgreSQL 16.0 (nutmegpier stand-in)'")
	q.sql = rewriteSQL(text, time.Now())
	return q
}

// sleepTime returns the duration for the argument of pg_sleep, which is a number
// or a parameter. An invalid argument gives zero.
func sleepTime(text string, args []any) time.Duration {
	if number, isParameter := strings.CutPrefix(text, "$"); isParameter {
		i, err := strconv.Atoi(number)
		if err != nil || i < 1 || i > len(args) {
			return 0
		}
		text = textOf(pgtype.TextOID, args[i-1])
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// acquireSlot waits for a free statement slot, and then sleeps for the execution
// time and the server's statement delay. Control connections do neither.
func (c *session) acquireSlot(ctx context.Context, executionTime time.Duration) (release func(), err error) {
	if c.control {
		return func() {}, nil
	}
	select {
	case c.server.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, newSQLError(codeQueryCanceled, "canceling statement due to user request")
	}
	release = func() { <-c.server.slots }
	if err := c.sleep(ctx, executionTime+c.server.statementDelay()); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (c *session) runRead(ctx context.Context, s *statement, args []any) (*resultSet, error) {
	q := c.prepareQuery(s, args)
	release, err := c.acquireSlot(ctx, q.sleep)
	if err != nil {
		return nil, err
	}
	defer release()
	return c.read(q.sql, args)
}

// read runs a query on the committed data, or on the working copy if the session
// has an open write transaction. On a server that is not the primary, it sets the
// session's position to the applied position.
func (c *session) read(sql string, args []any) (*resultSet, error) {
	s := c.server
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.rebuildIfNeeded()
	if c.tx != nil && c.tx.writing {
		if !s.isWriter(c.tx) || s.engine.writeTx != c.tx {
			return nil, newAbortedError()
		}
		return s.engine.working.run(sql, args, true)
	}
	s.group.mu.Lock()
	position, role := positionAt(s.log, s.applied), s.role
	s.group.mu.Unlock()
	set, err := s.engine.committed.run(sql, args, true)
	if err == nil && role != group.RolePrimary {
		c.position = position
	}
	return set, err
}

func newAbortedError() error {
	return newSQLError(codeReadOnly, "the transaction was aborted because the server is no longer the primary")
}

func (c *session) runWrite(ctx context.Context, s *statement, args []any) (*resultSet, error) {
	if tempPattern.MatchString(s.text) {
		return nil, newSQLError(codeFeatureUnsupported, "temporary tables are not supported")
	}
	if err := c.startWriting(ctx); err != nil {
		return nil, err
	}
	q := c.prepareQuery(s, args)
	release, err := c.acquireSlot(ctx, q.sleep)
	if err != nil {
		return nil, err
	}
	defer release()
	return c.write(q.sql, args, s.returnsRows(), !s.locking)
}

// startWriting starts an implicit transaction if none is open, and makes the
// session's transaction the server's writer.
func (c *session) startWriting(ctx context.Context) error {
	if c.tx == nil {
		c.tx = &transaction{}
	}
	if c.tx.readOnly {
		return newSQLError(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	return c.server.startWriting(ctx, c.tx)
}

// write runs a statement in the write transaction. With record, the statement
// becomes part of the transaction's log entry.
func (c *session) write(sql string, args []any, returnsRows, record bool) (*resultSet, error) {
	s := c.server
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if !s.isWriter(c.tx) || s.engine.writeTx != c.tx {
		return nil, newAbortedError()
	}
	set, err := s.engine.working.run(sql, args, returnsRows)
	if err != nil {
		return nil, err
	}
	if record {
		c.tx.statements = append(c.tx.statements, loggedStatement{args: args, sql: sql})
	}
	return set, nil
}

func (c *session) runBegin(s *statement) (*resultSet, error) {
	tx := c.tx
	if tx == nil {
		tx = &transaction{}
	}
	upper := strings.ToUpper(s.text)
	tx.readOnly = strings.Contains(upper, "READ ONLY") || c.setting("default_transaction_read_only") == "on"
	if !tx.readOnly && !tx.explicit {
		if err := c.server.registerTransaction(tx); err != nil {
			return nil, err
		}
	}
	tx.explicit = true
	c.tx = tx
	return &resultSet{}, nil
}

// errRolledBack means that a COMMIT rolled back a failed transaction. The client
// gets no error, but the command tag ROLLBACK.
var errRolledBack = errors.New("rolled back")

func (c *session) runCommit() (*resultSet, error) {
	if c.tx != nil && c.tx.failed {
		if _, err := c.runRollback(); err != nil {
			return nil, err
		}
		return nil, errRolledBack
	}
	return &resultSet{}, c.commit()
}

// commit commits the open transaction, if there is one.
func (c *session) commit() error {
	tx := c.tx
	if tx == nil {
		return nil
	}
	if c.server.waitResumed(c.ctx) != nil {
		return errClosed
	}
	c.tx = nil
	defer c.server.unregisterTransaction(tx)
	position, err := c.server.commit(tx)
	if err != nil {
		return err
	}
	if position.IsZero() {
		return nil
	}
	c.position = position
	if c.conn != nil && c.server.consumeCommitDrop() {
		resetConn(c.conn)
		return errClosed
	}
	return nil
}

func (c *session) runRollback() (*resultSet, error) {
	tx := c.tx
	c.tx = nil
	if tx == nil {
		return &resultSet{}, nil
	}
	defer c.server.unregisterTransaction(tx)
	return &resultSet{}, c.server.rollback(tx)
}

// endImplicitTransaction commits or rolls back an implicit transaction.
func (c *session) endImplicitTransaction() error {
	switch {
	case c.tx == nil || c.tx.explicit:
		return nil
	case c.tx.failed:
		_, err := c.runRollback()
		return err
	}
	return c.commit()
}

func isRollbackTo(s *statement) bool {
	return s.class == classSavepoint && s.keyword == "ROLLBACK"
}

func (c *session) runSavepoint(s *statement) (*resultSet, error) {
	if c.tx == nil || !c.tx.explicit {
		return nil, newSQLError(codeActiveTransaction, "%s can only be used in transaction blocks", s.keyword)
	}
	if !c.tx.writing {
		c.tx.pendingSavepoints = append(c.tx.pendingSavepoints, s.text)
		c.tx.failed = false
		return &resultSet{}, nil
	}
	set, err := c.write(s.text, nil, false, true)
	if err == nil {
		c.tx.failed = false
	}
	return set, err
}
