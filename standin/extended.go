package standin

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement that a client prepared. Its columns are valid
// if described is true.
type preparedStatement struct {
	columns    []column
	described  bool
	parameters []uint32
	statement  *statement
}

// portal is a prepared statement with bound parameters, and its result after the
// first Execute.
type portal struct {
	args     []any
	formats  []int16
	prepared *preparedStatement
	// rows are the rows that were not sent yet.
	rows [][]any
	// set is the result, or nil before the first Execute.
	set *resultSet
}

// handleExtended handles a message of the extended query protocol.
func (c *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Close:
		return c.closeObject(m)
	case *pgproto3.Describe:
		return c.describeObject(m)
	case *pgproto3.Execute:
		return c.execute(m)
	case *pgproto3.Parse:
		return c.parse(m)
	}
	return newSQLError(codeProtocol, "unexpected message %T", message)
}

func (c *session) parse(m *pgproto3.Parse) error {
	parts := splitStatements(m.Query)
	if len(parts) > 1 {
		return newSQLError(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if _, exists := c.prepared[m.Name]; exists && m.Name != "" {
		return newSQLError("42P05", "prepared statement %q already exists", m.Name)
	}
	s := parseStatement(m.Query)
	parameters, err := c.inferParameterTypes(s, m.ParameterOIDs)
	if err != nil {
		return err
	}
	c.prepared[m.Name] = &preparedStatement{parameters: parameters, statement: s}
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) bind(m *pgproto3.Bind) error {
	p := c.prepared[m.PreparedStatement]
	if p == nil {
		return newSQLError(codeUndefinedStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.parameters) {
		return newSQLError(codeProtocol, "bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(p.parameters))
	}
	var args []any
	for i, data := range m.Parameters {
		value, err := decodeParameter(p.parameters[i], formatAt(m.ParameterFormatCodes, i), data)
		if err != nil {
			return err
		}
		args = append(args, value)
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	c.portals[m.DestinationPortal] = &portal{args: args, formats: formats, prepared: p}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(c.prepared, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
	return nil
}

func (c *session) describeObject(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p := c.portals[m.Name]
		if p == nil {
			return newSQLError(codeUndefinedCursor, "portal %q does not exist", m.Name)
		}
		return c.sendDescription(p.prepared, p.formats)
	}
	p := c.prepared[m.Name]
	if p == nil {
		return newSQLError(codeUndefinedStatement, "prepared statement %q does not exist", m.Name)
	}
	c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameters})
	return c.sendDescription(p, nil)
}

func (c *session) sendDescription(p *preparedStatement, formats []int16) error {
	if !p.statement.returnsRows() {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	if err := c.ensureDescribed(p); err != nil {
		return err
	}
	c.backend.Send(rowDescription(p.columns, formats))
	return nil
}

func (c *session) execute(m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		return newSQLError(codeUndefinedCursor, "portal %q does not exist", m.Portal)
	}
	s := p.prepared.statement
	if s.class == classEmpty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.set == nil {
		set, err := c.run(s, p.args)
		if errors.Is(err, errRolledBack) {
			c.sendCommandComplete("ROLLBACK")
			return nil
		}
		if err != nil {
			return err
		}
		p.set, p.rows = set, set.rows
	}
	return c.sendPortal(p, int(m.MaxRows))
}

// sendPortal sends at most limit of the remaining rows of a portal, or all if
// limit is zero.
func (c *session) sendPortal(p *portal, limit int) error {
	s := p.prepared.statement
	if !s.returnsRows() {
		c.sendCommandComplete(s.tag(p.set.affected))
		return nil
	}
	columns := p.set.columns
	if p.prepared.described && len(p.prepared.columns) == len(columns) {
		columns = p.prepared.columns
	} else {
		p.set.resolveTypes(defaultColumnType)
	}
	batch := p.rows
	if limit > 0 && limit < len(batch) {
		batch = batch[:limit]
	}
	p.rows = p.rows[len(batch):]
	if err := c.sendRows(columns, p.formats, batch); err != nil {
		return err
	}
	if len(p.rows) > 0 {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.sendCommandComplete(s.tag(int64(len(batch))))
	return nil
}
