package standin

import (
	"database/sql"
	"fmt"
	"strings"
	"sync"
	"time"

	_ "modernc.org/sqlite" // The SQL engine of the servers.
)

// statementCacheSize bounds the prepared statements of one database.
const statementCacheSize = 256

// database is one SQLite database in memory with a single connection.
type database struct {
	db         *sql.DB
	statements map[string]*sql.Stmt
}

func newDatabase() (*database, error) {
	db, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return nil, fmt.Errorf("open database: %w", err)
	}
	// A second connection would see another, empty database.
	db.SetMaxOpenConns(1)
	return &database{db: db, statements: make(map[string]*sql.Stmt)}, nil
}

func (d *database) close() {
	d.db.Close()
}

// exec runs a statement without a result.
func (d *database) exec(text string) error {
	if _, err := d.db.Exec(text); err != nil {
		return translateError(err)
	}
	return nil
}

// prepare returns the cached prepared statement.
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

// rowSet is the buffered result of a statement.
type rowSet struct {
	affected int64
	columns  []column
	rows     [][]any
}

// run runs a statement and reads its whole result.
func (d *database) run(text string, args []any, returnsRows bool) (*rowSet, error) {
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
		return &rowSet{affected: affected}, nil
	}
	rows, err := stmt.Query(args...)
	if err != nil {
		return nil, translateError(err)
	}
	defer rows.Close()
	return readRows(rows)
}

func readRows(rows *sql.Rows) (*rowSet, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, translateError(err)
	}
	set := &rowSet{}
	for _, t := range types {
		set.columns = append(set.columns, column{name: t.Name(), oid: oidOfDeclared(t.DatabaseTypeName())})
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

// engine holds the data of one server. Reads see the committed database. The
// open write transaction works on a second copy, so that other sessions never
// see its changes before the commit. All fields are guarded by mu.
type engine struct {
	committed *database
	mu        sync.Mutex
	owner     *transaction
	work      *database
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
	work, err := newDatabase()
	if err != nil {
		committed.close()
		return err
	}
	e.committed, e.work, e.owner = committed, work, nil
	return nil
}

func (e *engine) close() {
	e.committed.close()
	e.work.close()
}

// rebuild replaces the data by a replay of the log.
func (e *engine) rebuild(log []logged) error {
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

// begin starts a write transaction. An earlier one is an aborted one.
func (e *engine) begin(tx *transaction) error {
	if err := e.abandon(); err != nil {
		return err
	}
	if err := e.work.exec("BEGIN"); err != nil {
		return err
	}
	e.owner = tx
	return nil
}

// abandon rolls the open write transaction back.
func (e *engine) abandon() error {
	if e.owner == nil {
		return nil
	}
	e.owner = nil
	return e.work.exec("ROLLBACK")
}

// commit ends the write transaction and repeats it on the committed database.
func (e *engine) commit(entry *entry) error {
	e.owner = nil
	if err := e.work.exec("COMMIT"); err != nil {
		return err
	}
	return replay(e.committed, entry)
}

// apply applies an entry of another server.
func (e *engine) apply(entry *entry) error {
	if err := e.abandon(); err != nil {
		return err
	}
	if err := replay(e.work, entry); err != nil {
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

// errorPatterns maps the texts of SQLite errors to SQLSTATE codes.
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

// translateError turns an error of SQLite into one with a SQLSTATE code.
func translateError(err error) error {
	for _, p := range errorPatterns {
		if strings.Contains(err.Error(), p.pattern) {
			return newSQLError(p.code, "%v", err)
		}
	}
	return newSQLError(codeInternal, "%v", err)
}

// timestampText is the text form of now().
func timestampText(now time.Time) string {
	return now.UTC().Format("2006-01-02 15:04:05.000000+00")
}
