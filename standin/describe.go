package standin

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// A server must name the types of parameters and result columns before a
// statement runs. SQLite has no such types, so that they are inferred from
// declared columns, casts and the names of aggregate functions.

// maxParameters is the largest number of parameters of a statement.
const maxParameters = 65535

var (
	castPattern       = regexp.MustCompile(`(?i)\$(\d+)\s*::\s*(\w+(?:\s+precision)?)`)
	columnAsPattern   = regexp.MustCompile(`(?i)::\s*(\w+(?:\s+precision)?)(\s+as\s+\w+)?\s*$`)
	comparisonPattern = regexp.MustCompile(`(?i)(?:\b\w+\.)?"?(\w+)"?\s*(?:=|<>|!=|<=|>=|<|>|\blike\b|\bilike\b|[-+*/])\s*\$(\d+)`)
	insertPattern     = regexp.MustCompile(`(?is)^insert\s+into\s+"?(\w+)"?\s*(?:\(([^)]*)\))?\s*values\s*(.*)$`)
	limitPattern      = regexp.MustCompile(`(?i)\b(?:limit|offset)\s+\$(\d+)`)
	listPattern       = regexp.MustCompile(`(?i)(?:\b\w+\.)?"?(\w+)"?\s+in\s*\(([^()]*)\)`)
	parameterPattern  = regexp.MustCompile(`\$(\d+)`)
	sleepParameter    = regexp.MustCompile(`(?i)\bpg_sleep\(\s*\$(\d+)`)
	tablePattern      = regexp.MustCompile(`(?is)^(?:insert\s+into|update|delete\s+from)\s+"?(\w+)"?`)
)

// typeNames maps the type names of casts to types.
var typeNames = map[string]uint32{
	"bigint": pgtype.Int8OID, "bool": pgtype.BoolOID, "boolean": pgtype.BoolOID, "double precision": pgtype.Float8OID,
	"float": pgtype.Float8OID, "float8": pgtype.Float8OID, "int": pgtype.Int8OID, "int4": pgtype.Int8OID,
	"int8": pgtype.Int8OID, "integer": pgtype.Int8OID, "numeric": pgtype.Float8OID, "real": pgtype.Float8OID,
	"text": pgtype.TextOID, "varchar": pgtype.TextOID,
}

// parameterTypes returns the types of the parameters: those that the client
// declared, and guesses for the others. A parameter without any hint is an
// int8: clients then send numbers as such, and texts in text form.
func (c *session) parameterTypes(s *statement, declared []uint32) ([]uint32, error) {
	bare := blankLiterals(s.text)
	count := len(declared)
	for _, m := range parameterPattern.FindAllStringSubmatch(bare, -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil || n < 1 || n > maxParameters {
			return nil, newSQLError(codeSyntax, "there is no parameter $%s", m[1])
		}
		count = max(count, n)
	}
	if count == 0 {
		return nil, nil
	}
	types := make([]uint32, count)
	copy(types, declared)
	g := &typeGuess{types: types}
	g.fromCasts(bare)
	if g.complete() {
		return types, nil
	}
	columns, err := c.declaredColumns()
	if err != nil {
		return nil, err
	}
	g.fromColumns(bare, columns)
	for i := range types {
		g.set(strconv.Itoa(i+1), pgtype.Int8OID)
	}
	return types, nil
}

// typeGuess collects the types of parameters. The first hint counts.
type typeGuess struct {
	types []uint32
}

func (g *typeGuess) complete() bool {
	for _, t := range g.types {
		if t == 0 {
			return false
		}
	}
	return true
}

func (g *typeGuess) set(number string, oid uint32) {
	n, err := strconv.Atoi(number)
	if err == nil && n >= 1 && n <= len(g.types) && g.types[n-1] == 0 {
		g.types[n-1] = oid
	}
}

func (g *typeGuess) fromCasts(text string) {
	for _, m := range castPattern.FindAllStringSubmatch(text, -1) {
		g.set(m[1], typeNames[strings.ToLower(strings.Join(strings.Fields(m[2]), " "))])
	}
	for _, m := range limitPattern.FindAllStringSubmatch(text, -1) {
		g.set(m[1], pgtype.Int8OID)
	}
	for _, m := range sleepParameter.FindAllStringSubmatch(text, -1) {
		g.set(m[1], pgtype.Float8OID)
	}
}

func (g *typeGuess) fromColumns(text string, columns *schemaColumns) {
	for _, m := range comparisonPattern.FindAllStringSubmatch(text, -1) {
		g.set(m[2], columns.types[strings.ToLower(m[1])])
	}
	for _, m := range listPattern.FindAllStringSubmatch(text, -1) {
		for _, p := range parameterPattern.FindAllStringSubmatch(m[2], -1) {
			g.set(p[1], columns.types[strings.ToLower(m[1])])
		}
	}
	g.fromInsert(text, columns)
}

// fromInsert gives the parameters of VALUES the types of their columns.
func (g *typeGuess) fromInsert(text string, columns *schemaColumns) {
	m := insertPattern.FindStringSubmatch(text)
	if m == nil {
		return
	}
	names := columns.tables[strings.ToLower(m[1])]
	if m[2] != "" {
		names = strings.Split(m[2], ",")
	}
	if len(names) == 0 {
		return
	}
	for _, tuple := range regexp.MustCompile(`\(([^()]*)\)`).FindAllStringSubmatch(m[3], -1) {
		for i, value := range strings.Split(tuple[1], ",") {
			if p := parameterPattern.FindStringSubmatch(value); p != nil && i < len(names) {
				g.set(p[1], columns.types[strings.ToLower(strings.Trim(names[i], ` "`))])
			}
		}
	}
}

// schemaColumns are the columns of all tables.
type schemaColumns struct {
	// tables lists the columns of a table in order.
	tables map[string][]string
	// types are the types by column name. Tables rarely disagree on them.
	types map[string]uint32
}

// schemaSQL lists the columns of all tables.
const schemaSQL = "SELECT lower(m.name), lower(p.name), p.type FROM sqlite_master m, pragma_table_info(m.name) p WHERE m.type = 'table' ORDER BY m.name, p.cid"

func (c *session) declaredColumns() (*schemaColumns, error) {
	set, err := c.peek(schemaSQL, nil)
	if err != nil {
		return nil, err
	}
	columns := &schemaColumns{tables: make(map[string][]string), types: make(map[string]uint32)}
	for _, row := range set.rows {
		table, name := textOf(pgtype.TextOID, row[0]), textOf(pgtype.TextOID, row[1])
		columns.tables[table] = append(columns.tables[table], name)
		columns.types[name] = oidOfDeclared(textOf(pgtype.TextOID, row[2]))
	}
	return columns, nil
}

// peek runs a query like read, but leaves the session's position as it is.
func (c *session) peek(sql string, args []any) (*rowSet, error) {
	position := c.position
	set, err := c.read(sql, args)
	c.position = position
	return set, err
}

// describe finds the result columns of a statement.
func (c *session) describe(p *preparedStatement) error {
	if p.described {
		return nil
	}
	set, err := c.describeSet(p)
	if err != nil {
		return err
	}
	p.columns, p.described = set.columns, true
	return nil
}

func (c *session) describeSet(p *preparedStatement) (*rowSet, error) {
	s := p.statement
	switch s.class {
	case classCall:
		names := statusColumns
		if strings.Contains(strings.ToLower(s.text), "group_fence") {
			names = append([]string{"granted"}, names...)
		}
		return textRow(names, make([]string, len(names))), nil
	case classShow:
		return c.runShow(s)
	}
	args := make([]any, len(p.parameters))
	for i, oid := range p.parameters {
		args[i] = sampleValue(oid)
	}
	sql := c.prepareQuery(&statement{text: describeText(s)}, args).sql
	if s.keyword != "EXPLAIN" {
		sql = "SELECT * FROM (" + sql + ") LIMIT 1"
	}
	set, err := c.peek(sql, args)
	if err != nil {
		return nil, err
	}
	hints := columnHints(s)
	for i := range set.columns {
		if i < len(hints) && hints[i] != 0 {
			set.columns[i].oid = hints[i]
		}
	}
	set.settleTypes(guessType)
	return set, nil
}

// describeText returns a query with the same result columns as the statement
// and without its effects.
func describeText(s *statement) string {
	if s.class == classRead || s.locking {
		return s.text
	}
	at := returningPattern.FindStringIndex(blankLiterals(s.text))
	table := tablePattern.FindStringSubmatch(s.text)
	if at == nil || table == nil {
		return s.text
	}
	return "SELECT " + s.text[at[1]:] + " FROM " + table[1] + " LIMIT 0"
}

// sampleValue is a value of a type that is valid in each place, also in LIMIT.
func sampleValue(oid uint32) any {
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID:
		return ""
	case pgtype.Float4OID, pgtype.Float8OID:
		return 0.0
	}
	return int64(0)
}

// columnHints returns the types of result columns that end with a cast, and
// zero for the others.
func columnHints(s *statement) []uint32 {
	bare := blankLiterals(s.text)
	if !strings.EqualFold(s.keyword, "SELECT") {
		return nil
	}
	var hints []uint32
	for _, item := range selectItems(bare[len("SELECT"):]) {
		if strings.TrimSpace(item) == "*" {
			return nil
		}
		hints = append(hints, itemType(item))
	}
	return hints
}

// itemType returns the type that a cast or an aggregate gives to a result column.
func itemType(item string) uint32 {
	if m := columnAsPattern.FindStringSubmatch(item); m != nil {
		return typeNames[strings.ToLower(strings.Join(strings.Fields(m[1]), " "))]
	}
	name, _, found := strings.Cut(strings.ToLower(strings.TrimSpace(item)), "(")
	if !found {
		return 0
	}
	switch strings.TrimSpace(name) {
	case "avg":
		return pgtype.Float8OID
	case "count", "length":
		return pgtype.Int8OID
	case "exists":
		return pgtype.BoolOID
	}
	return 0
}

// selectItems splits the select list at its commas outside of parentheses.
func selectItems(text string) []string {
	var items []string
	depth, start := 0, 0
	lower := strings.ToLower(text)
	for i := range len(text) {
		switch {
		case text[i] == '(':
			depth++
		case text[i] == ')':
			depth--
		case depth == 0 && text[i] == ',':
			items = append(items, text[start:i])
			start = i + 1
		case depth == 0 && strings.HasPrefix(lower[i:], " from ") || depth == 0 && strings.HasPrefix(lower[i:], "\nfrom "):
			return append(items, text[start:i])
		}
	}
	return append(items, text[start:])
}
