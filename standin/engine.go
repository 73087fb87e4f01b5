package standin

import (
	"database/sql"
	"fmt"
	"strings"
	"sync"
	"time"

	_ "modernc.org/sqlite" // The SQL engine of the servers.
)

// statementCacheSize is the largest number of cached prepared statements of one
// database.
const statementCacheSize = 256

// database is an in-memory SQLite database with a single connection.
type database struct {
	db         *sql.DB
	statements map[string]*sql.Stmt
}

func newDatabase() (*database, error) {
	db, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return nil, fmt.Errorf("open database: %w", err)
	}
	// Each connection to :memory: opens a separate, empty database.
	db.SetMaxOpenConns(1)
	return &database{db: db, statements: make(map[string]*sql.Stmt)}, nil
}

func (d *database) close() {
	d.db.Close()
}

// exec runs a statement that returns no rows.
func (d *database) exec(text string) error {
	if _, err := d.db.Exec(text); err != nil {
		return translateError(err)
	}
	return nil
}

// prepare returns the prepared statement from the cache, or prepares it. A full
// cache evicts an arbitrary statement.
func (d *database) prepare(text string) (*sql.Stmt, error) {
	if stmt := d.statements[text]; stmt != nil {
		return stmt, nil
	}
	stmt, err := d.db.Prepare(text)
	if err != nil {
		return nil, translateError(err)
	}
	if len(d.statements) >= statementCacheSize {
		for old, s := range d.statements {
			s.Close()
			delete(d.statements, old)
			break
		}
	}
	d.statements[text] = stmt
	return stmt, nil
}

// resultSet is the whole result of a statement in memory.
type resultSet struct {
	affected int64
	columns  []column
	rows     [][]any
}

// run runs a statement and reads its whole result.
func (d *database) run(text string, args []any, returnsRows bool) (*resultSet, error) {
	stmt, err := d.prepare(text)
	if err != nil {
		return nil, err
	}
	if !returnsRows {
		res, err := stmt.Exec(args...)
		if err != nil {
			return nil, translateError(err)
		}
		affected, err := res.RowsAffected()
		if err != nil {
			return nil, translateError(err)
		}
		return &resultSet{affected: affected}, nil
	}
	rows, err := stmt.Query(args...)
	if err != nil {
		return nil, translateError(err)
	}
	defer rows.Close()
	return readRows(rows)
}

func readRows(rows *sql.Rows) (*resultSet, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, translateError(err)
	}
	set := &resultSet{}
	for _, t := range types {
		set.columns = append(set.columns, column{name: t.Name(), oid: oidOfDeclaredType(t.DatabaseTypeName())})
	}
	for rows.Next() {
		values := make([]any, len(types))
		targets := make([]any, len(types))
		for i := range values {
			targets[i] = &values[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, translateError(err)
		}
		set.rows = append(set.rows, values)
	}
	if err := rows.Err(); err != nil {
		return nil, translateError(err)
	}
	set.affected = int64(len(set.rows))
	return set, nil
}

// engine holds the data of one server in two databases. Reads use the committed
// one. The open write transaction uses the working copy, so that other sessions
// never see its changes before the commit. All fields are guarded by mu. writeTx
// is the transaction that is open on the working copy, or nil.
type engine struct {
	committed *database
	mu        sync.Mutex
	writeTx   *transaction
	working   *database
}

func newEngine() (*engine, error) {
	e := &engine{}
	return e, e.open()
}

func (e *engine) open() error {
	committed, err := newDatabase()
	if err != nil {
		return err
	}
	working, err := newDatabase()
	if err != nil {
		committed.close()
		return err
	}
	e.committed, e.working, e.writeTx = committed, working, nil
	return nil
}

func (e *engine) close() {
	e.committed.close()
	e.working.close()
}

// rebuild discards the data and replays the log into empty databases.
func (e *engine) rebuild(log []storedEntry) error {
	e.close()
	if err := e.open(); err != nil {
		return err
	}
	for _, entry := range log {
		if err := e.apply(entry.entry); err != nil {
			return err
		}
	}
	return nil
}

// begin starts a write transaction. A transaction that is still open was aborted
// by the server and is rolled back.
func (e *engine) begin(tx *transaction) error {
	if err := e.rollbackOpenTx(); err != nil {
		return err
	}
	if err := e.working.exec("BEGIN"); err != nil {
		return err
	}
	e.writeTx = tx
	return nil
}

// rollbackOpenTx rolls back the open write transaction, if there is one.
func (e *engine) rollbackOpenTx() error {
	if e.writeTx == nil {
		return nil
	}
	e.writeTx = nil
	return e.working.exec("ROLLBACK")
}

// commit commits the write transaction on the working copy and replays it on the
// committed database.
func (e *engine) commit(entry *entry) error {
	e.writeTx = nil
	if err := e.working.exec("COMMIT"); err != nil {
		return err
	}
	return replay(e.committed, entry)
}

// apply replays an entry that was received from another server on both databases.
// An open write transaction is rolled back first.
func (e *engine) apply(entry *entry) error {
	if err := e.rollbackOpenTx(); err != nil {
		return err
	}
	if err := replay(e.working, entry); err != nil {
		return err
	}
	return replay(e.committed, entry)
}

func replay(d *database, entry *entry) error {
	if len(entry.statements) == 0 {
		return nil
	}
	if err := d.exec("BEGIN"); err != nil {
		return err
	}
	for _, s := range entry.statements {
		if _, err := d.run(s.sql, s.args, false); err != nil {
			return fmt.Errorf("replay %q: %w", s.sql, err)
		}
	}
	return d.exec("COMMIT")
}

// errorPatterns maps parts of SQLite's error messages to SQLSTATE codes.
var errorPatterns = []struct{ pattern, code string }{
	{"UNIQUE constraint failed", codeUnique},
	{"NOT NULL constraint failed", codeNotNull},
	{"CHECK constraint failed", codeCheckViolation},
	{"FOREIGN KEY constraint failed", codeForeignKey},
	{"no such table", codeUndefinedTable},
	{"no such column", codeUndefinedColumn},
	{"has no column", codeUndefinedColumn},
	{"no such function", codeUndefinedFunction},
	{"already exists", codeDuplicateTable},
	{"syntax error", codeSyntax},
	{"unrecognized token", codeSyntax},
	{"incomplete input", codeSyntax},
}

// translateError converts an error of SQLite to one with a SQLSTATE code.
func translateError(err error) error {
	for _, p := range errorPatterns {
		if strings.Contains(err.Error(), p.pattern) {
			return newSQLError(p.code, "%v", err)
		}
	}
	return newSQLError(codeInternal, "%v", err)
}

// timestampText formats a time as PostgreSQL formats the result of now().
func timestampText(now time.Time) string {
	return now.UTC().Format("2006-01-02 15:04:05.000000+00")
}
