package standin

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyFormatText is the protocol's code for the text format of COPY.
const copyFormatText = 0

// copyPattern matches the supported forms of COPY. The only supported option is
// the text format.
var copyPattern = regexp.MustCompile(`(?is)^copy\s+(?:"?(\w+)"?\s*(?:\(([^)]*)\))?|\((.*)\))\s+(from\s+stdin|to\s+stdout)\s*(?:(?:with\s*)?\(?\s*format\s+'?text'?\s*\)?)?\s*$`)

// copyCommand is a parsed COPY statement.
type copyCommand struct {
	columns   string
	fromStdin bool
	query     string
	table     string
}

func parseCopy(text string) (*copyCommand, error) {
	m := copyPattern.FindStringSubmatch(text)
	if m == nil {
		return nil, newSQLError(codeFeatureUnsupported, "this form of COPY is not supported")
	}
	cmd := &copyCommand{columns: m[2], fromStdin: strings.HasPrefix(strings.ToLower(m[4]), "from"), query: m[3], table: m[1]}
	if cmd.fromStdin && cmd.table == "" {
		return nil, newSQLError(codeSyntax, "COPY FROM needs a table")
	}
	return cmd, nil
}

// selectText returns the query whose columns or rows are copied.
func (cmd *copyCommand) selectText() string {
	switch {
	case cmd.query != "":
		return cmd.query
	case cmd.columns != "":
		return "SELECT " + cmd.columns + " FROM " + cmd.table
	}
	return "SELECT * FROM " + cmd.table
}

// insertText returns the statement that inserts one row with n values.
func (cmd *copyCommand) insertText(n int) string {
	columns := ""
	if cmd.columns != "" {
		columns = " (" + cmd.columns + ")"
	}
	return "INSERT INTO " + cmd.table + columns + " VALUES (" + strings.TrimSuffix(strings.Repeat("?,", n), ",") + ")"
}

// runCopy runs a COPY statement. After the last statement of a simple query it
// ends the implicit transaction before it sends the command tag.
func (c *session) runCopy(s *statement, last bool) error {
	if c.tx != nil && c.tx.failed {
		_, err := c.run(s, nil)
		return err
	}
	cmd, err := parseCopy(s.text)
	if err != nil {
		return err
	}
	run := c.copyOut
	if cmd.fromStdin {
		run = c.copyIn
	}
	rows, err := run(cmd)
	if err != nil {
		return err
	}
	if last {
		if err := c.endImplicitTransaction(); err != nil {
			return err
		}
	}
	c.sendCommandComplete(s.tag(rows))
	return nil
}

func (c *session) copyOut(cmd *copyCommand) (int64, error) {
	set, err := c.run(parseStatement(cmd.selectText()), nil)
	if err != nil {
		return 0, err
	}
	set.resolveTypes(defaultColumnType)
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(set.columns)), OverallFormat: copyFormatText})
	for _, row := range set.rows {
		fields := make([]string, len(row))
		for i, value := range row {
			fields[i] = copyField(set.columns[i].oid, value)
		}
		c.backend.Send(&pgproto3.CopyData{Data: []byte(strings.Join(fields, "\t") + "\n")})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	return int64(len(set.rows)), nil
}

func (c *session) copyIn(cmd *copyCommand) (int64, error) {
	ctx, done := c.statementContext()
	defer done()
	if err := c.startWriting(ctx); err != nil {
		return 0, err
	}
	set, err := c.read(cmd.selectText()+" LIMIT 0", nil)
	if err != nil {
		return 0, err
	}
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, len(set.columns)), OverallFormat: copyFormatText})
	if err := c.flush(); err != nil {
		return 0, err
	}
	data, err := c.receiveCopy()
	if err != nil {
		return 0, err
	}
	release, err := c.acquireSlot(ctx, 0)
	if err != nil {
		return 0, err
	}
	defer release()
	return c.insertCopyLines(cmd, set.columns, data)
}

// receiveCopy receives the data of a COPY FROM STDIN until the client completes
// or fails the transfer.
func (c *session) receiveCopy() (string, error) {
	var data strings.Builder
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return "", errClosed
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			data.Write(m.Data)
		case *pgproto3.CopyDone:
			return data.String(), c.awaitReachable()
		case *pgproto3.CopyFail:
			return "", newSQLError(codeQueryCanceled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return "", newSQLError(codeProtocol, "unexpected message %T during COPY from stdin", message)
		}
	}
}

func (c *session) insertCopyLines(cmd *copyCommand, columns []column, data string) (int64, error) {
	sql := cmd.insertText(len(columns))
	var rows int64
	for line := range strings.SplitSeq(strings.TrimSuffix(data, "\n"), "\n") {
		if line == `\.` || line == "" && len(columns) > 1 || data == "" {
			break
		}
		fields := strings.Split(line, "\t")
		if len(fields) != len(columns) {
			return 0, newSQLError("22P04", "COPY line %d has %d columns, want %d", rows+1, len(fields), len(columns))
		}
		args := make([]any, len(fields))
		for i, field := range fields {
			if field != `\N` {
				args[i] = decodeText(columns[i].oid, copyUnescaper.Replace(field))
			}
		}
		if _, err := c.write(sql, args, false, true); err != nil {
			return 0, err
		}
		rows++
	}
	return rows, nil
}

// copyEscaper and copyUnescaper convert the escape sequences of COPY's text
// format.
var (
	copyEscaper   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
	copyUnescaper = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
)

// copyField returns the text format of a value in COPY data.
func copyField(oid uint32, value any) string {
	if value == nil {
		return `\N`
	}
	return copyEscaper.Replace(textOf(oid, value))
}
