package standin

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// simpleQuery runs the statements of a simple query as one implicit transaction.
func (c *session) simpleQuery(text string) error {
	parts := splitStatements(text)
	if len(parts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, part := range parts {
		err := c.simpleStatement(parseStatement(part), i == len(parts)-1)
		if err == nil {
			continue
		}
		if err := c.handleStatementError(err); err != nil {
			return err
		}
		break
	}
	return c.sendReady()
}

// handleStatementError sends the error of a statement to the client and rolls back
// an implicit transaction. It returns errors that end the session.
func (c *session) handleStatementError(err error) error {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		return err
	}
	c.sendError(sqlErr)
	return c.endImplicitTransaction()
}

// simpleStatement runs one statement and sends its result. The implicit
// transaction ends before the last result is sent.
func (c *session) simpleStatement(s *statement, last bool) error {
	if s.class == classCopy {
		return c.runCopy(s, last)
	}
	set, err := c.run(s, nil)
	if errors.Is(err, errRolledBack) {
		c.sendCommandComplete("ROLLBACK")
		return nil
	}
	if err != nil {
		return err
	}
	if last {
		if err := c.endImplicitTransaction(); err != nil {
			return err
		}
	}
	if s.returnsRows() {
		set.resolveTypes(defaultColumnType)
		c.backend.Send(rowDescription(set.columns, nil))
		if err := c.sendRows(set.columns, nil, set.rows); err != nil {
			return err
		}
	}
	c.sendCommandComplete(s.tag(set.affected))
	return nil
}

func (c *session) sendCommandComplete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// sendRows sends rows without flushing.
func (c *session) sendRows(columns []column, formats []int16, rows [][]any) error {
	for _, row := range rows {
		message, err := encodeRow(columns, formats, row)
		if err != nil {
			return err
		}
		c.backend.Send(message)
	}
	return nil
}

// exec runs statements in one implicit transaction, without a client connection.
func (s *Server) exec(ctx context.Context, text string) error {
	c := s.newSession(nil)
	defer c.cancelContext()
	defer context.AfterFunc(ctx, c.cancelContext)()
	c.control = true
	for _, part := range splitStatements(text) {
		if _, err := c.run(parseStatement(part), nil); err != nil {
			_, rollbackErr := c.runRollback()
			return errors.Join(err, rollbackErr)
		}
	}
	return c.commit()
}

// defaultColumnType returns the type of a result column that has neither a declared
// type nor a value from which to infer it. Functions that usually return integers
// give int8: an aggregate over no rows is mostly a sum of integers.
func defaultColumnType(name string) uint32 {
	function, _, isCall := strings.Cut(strings.ToLower(name), "(")
	if !isCall {
		return pgtype.TextOID
	}
	switch function {
	case "abs", "coalesce", "count", "length", "max", "min", "sum":
		return pgtype.Int8OID
	}
	return pgtype.TextOID
}
