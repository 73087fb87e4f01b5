package standin

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// The extended protocol describes the types of parameters and result columns
// before a statement runs. SQLite does not know them at that point, so they are
// inferred from declared columns, casts and the names of aggregate functions.

// maxParameters is the largest number of parameters of a statement in
// PostgreSQL's protocol.
const maxParameters = 65535

var (
	parameterCastPattern  = regexp.MustCompile(`(?i)\$(\d+)\s*::\s*(\w+(?:\s+precision)?)`)
	trailingCastPattern   = regexp.MustCompile(`(?i)::\s*(\w+(?:\s+precision)?)(\s+as\s+\w+)?\s*$`)
	comparisonPattern     = regexp.MustCompile(`(?i)(?:\b\w+\.)?"?(\w+)"?\s*(?:=|<>|!=|<=|>=|<|>|\blike\b|\bilike\b|[-+*/])\s*\$(\d+)`)
	insertPattern         = regexp.MustCompile(`(?is)^insert\s+into\s+"?(\w+)"?\s*(?:\(([^)]*)\))?\s*values\s*(.*)$`)
	limitParameterPattern = regexp.MustCompile(`(?i)\b(?:limit|offset)\s+\$(\d+)`)
	inListPattern         = regexp.MustCompile(`(?i)(?:\b\w+\.)?"?(\w+)"?\s+in\s*\(([^()]*)\)`)
	parameterPattern      = regexp.MustCompile(`\$(\d+)`)
	sleepParameterPattern = regexp.MustCompile(`(?i)\bpg_sleep\(\s*\$(\d+)`)
	writeTablePattern     = regexp.MustCompile(`(?is)^(?:insert\s+into|update|delete\s+from)\s+"?(\w+)"?`)
)

// typeNames maps the type names in casts to type OIDs.
var typeNames = map[string]uint32{
	"bigint": pgtype.Int8OID, "bool": pgtype.BoolOID, "boolean": pgtype.BoolOID, "double precision": pgtype.Float8OID,
	"float": pgtype.Float8OID, "float8": pgtype.Float8OID, "int": pgtype.Int8OID, "int4": pgtype.Int8OID,
	"int8": pgtype.Int8OID, "integer": pgtype.Int8OID, "numeric": pgtype.Float8OID, "real": pgtype.Float8OID,
	"text": pgtype.TextOID, "varchar": pgtype.TextOID,
}

// inferParameterTypes returns the types of the parameters: those that the client
// declared, and inferred ones for the others. A parameter whose type cannot be
// inferred is an int8: clients then send numbers as integers, and strings in the
// text format.
func (c *session) inferParameterTypes(s *statement, declared []uint32) ([]uint32, error) {
	withoutLiterals := blankLiterals(s.text)
	count := len(declared)
	for _, m := range parameterPattern.FindAllStringSubmatch(withoutLiterals, -1) {
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
	inference := &parameterTypeInference{types: types}
	inference.inferFromCasts(withoutLiterals)
	if inference.allKnown() {
		return types, nil
	}
	columns, err := c.readSchemaColumns()
	if err != nil {
		return nil, err
	}
	inference.inferFromColumns(withoutLiterals, columns)
	for i := range types {
		inference.setIfUnknown(strconv.Itoa(i+1), pgtype.Int8OID)
	}
	return types, nil
}

// parameterTypeInference collects the types of parameters. The first type that is
// found for a parameter takes precedence.
type parameterTypeInference struct {
	types []uint32
}

func (inference *parameterTypeInference) allKnown() bool {
	for _, t := range inference.types {
		if t == 0 {
			return false
		}
	}
	return true
}

func (inference *parameterTypeInference) setIfUnknown(number string, oid uint32) {
	n, err := strconv.Atoi(number)
	if err == nil && n >= 1 && n <= len(inference.types) && inference.types[n-1] == 0 {
		inference.types[n-1] = oid
	}
}

func (inference *parameterTypeInference) inferFromCasts(text string) {
	for _, m := range parameterCastPattern.FindAllStringSubmatch(text, -1) {
		inference.setIfUnknown(m[1], typeNames[strings.ToLower(strings.Join(strings.Fields(m[2]), " "))])
	}
	for _, m := range limitParameterPattern.FindAllStringSubmatch(text, -1) {
		inference.setIfUnknown(m[1], pgtype.Int8OID)
	}
	for _, m := range sleepParameterPattern.FindAllStringSubmatch(text, -1) {
		inference.setIfUnknown(m[1], pgtype.Float8OID)
	}
}

func (inference *parameterTypeInference) inferFromColumns(text string, columns *schemaColumns) {
	for _, m := range comparisonPattern.FindAllStringSubmatch(text, -1) {
		inference.setIfUnknown(m[2], columns.types[strings.ToLower(m[1])])
	}
	for _, m := range inListPattern.FindAllStringSubmatch(text, -1) {
		for _, p := range parameterPattern.FindAllStringSubmatch(m[2], -1) {
			inference.setIfUnknown(p[1], columns.types[strings.ToLower(m[1])])
		}
	}
	inference.inferFromInsert(text, columns)
}

// inferFromInsert gives the parameters in the VALUES list of an INSERT the types
// of the columns that they are inserted into.
func (inference *parameterTypeInference) inferFromInsert(text string, columns *schemaColumns) {
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
				inference.setIfUnknown(p[1], columns.types[strings.ToLower(strings.Trim(names[i], ` "`))])
			}
		}
	}
}

// schemaColumns are the columns of all tables.
type schemaColumns struct {
	// tables holds the column names by table name, in the declared order.
	tables map[string][]string
	// types holds the types by column name. The table is not part of the key,
	// because columns of the same name rarely differ in type.
	types map[string]uint32
}

// schemaSQL lists the columns of all tables.
const schemaSQL = "SELECT lower(m.name), lower(p.name), p.type FROM sqlite_master m, pragma_table_info(m.name) p WHERE m.type = 'table' ORDER BY m.name, p.cid"

func (c *session) readSchemaColumns() (*schemaColumns, error) {
	set, err := c.readKeepingPosition(schemaSQL, nil)
	if err != nil {
		return nil, err
	}
	columns := &schemaColumns{tables: make(map[string][]string), types: make(map[string]uint32)}
	for _, row := range set.rows {
		table, name := textOf(pgtype.TextOID, row[0]), textOf(pgtype.TextOID, row[1])
		columns.tables[table] = append(columns.tables[table], name)
		columns.types[name] = oidOfDeclaredType(textOf(pgtype.TextOID, row[2]))
	}
	return columns, nil
}

// readKeepingPosition runs a query like read, but does not change the session's
// position.
func (c *session) readKeepingPosition(sql string, args []any) (*resultSet, error) {
	position := c.position
	set, err := c.read(sql, args)
	c.position = position
	return set, err
}

// ensureDescribed determines the result columns of a prepared statement, unless
// they are known already.
func (c *session) ensureDescribed(p *preparedStatement) error {
	if p.described {
		return nil
	}
	set, err := c.describeResult(p)
	if err != nil {
		return err
	}
	p.columns, p.described = set.columns, true
	return nil
}

func (c *session) describeResult(p *preparedStatement) (*resultSet, error) {
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
	sql := c.prepareQuery(&statement{text: describeSQL(s)}, args).sql
	if s.keyword != "EXPLAIN" {
		sql = "SELECT * FROM (" + sql + ") LIMIT 1"
	}
	set, err := c.readKeepingPosition(sql, args)
	if err != nil {
		return nil, err
	}
	itemTypes := selectItemTypes(s)
	for i := range set.columns {
		if i < len(itemTypes) && itemTypes[i] != 0 {
			set.columns[i].oid = itemTypes[i]
		}
	}
	set.resolveTypes(defaultColumnType)
	return set, nil
}

// describeSQL returns a query with the same result columns as the statement
// and without its effects.
func describeSQL(s *statement) string {
	if s.class == classRead || s.locking {
		return s.text
	}
	at := returningPattern.FindStringIndex(blankLiterals(s.text))
	table := writeTablePattern.FindStringSubmatch(s.text)
	if at == nil || table == nil {
		return s.text
	}
	return "SELECT " + s.text[at[1]:] + " FROM " + table[1] + " LIMIT 0"
}

// sampleValue returns a value for a parameter of the type, for the query that
// determines the result columns. It is valid wherever a parameter is, also in
// LIMIT.
func sampleValue(oid uint32) any {
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID:
		return ""
	case pgtype.Float4OID, pgtype.Float8OID:
		return 0.0
	}
	return int64(0)
}

// selectItemTypes returns the types of the items of a select list that are given
// by a cast or a function, and zero for the others. It returns nil if the list
// contains a *, because the items then do not match the result columns.
func selectItemTypes(s *statement) []uint32 {
	withoutLiterals := blankLiterals(s.text)
	if !strings.EqualFold(s.keyword, "SELECT") {
		return nil
	}
	var itemTypes []uint32
	for _, item := range selectItems(withoutLiterals[len("SELECT"):]) {
		if strings.TrimSpace(item) == "*" {
			return nil
		}
		itemTypes = append(itemTypes, selectItemType(item))
	}
	return itemTypes
}

// selectItemType returns the type that a cast or a function gives to an item of a
// select list, or zero.
func selectItemType(item string) uint32 {
	if m := trailingCastPattern.FindStringSubmatch(item); m != nil {
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

// selectItems splits a select list at the commas outside of parentheses. It stops
// at the FROM clause.
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
