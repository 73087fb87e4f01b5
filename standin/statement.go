package standin

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// class is the kind of a statement. It determines how the server runs it.
type class string

// Classes of statements.
const (
	classBegin     class = "Begin"
	classCall      class = "Call"
	classCommit    class = "Commit"
	classCopy      class = "Copy"
	classDiscard   class = "Discard"
	classEmpty     class = "Empty"
	classNoOp      class = "NoOp"
	classRead      class = "Read"
	classReset     class = "Reset"
	classRollback  class = "Rollback"
	classSavepoint class = "Savepoint"
	classSet       class = "Set"
	classShow      class = "Show"
	classWrite     class = "Write"
)

// classByKeyword maps the first word of a statement to its class.
// Statements that start with another word are writes.
var classByKeyword = map[string]class{
	"ABORT": classRollback, "BEGIN": classBegin, "CALL": classCall, "COMMIT": classCommit, "COPY": classCopy,
	"DEALLOCATE": classDiscard, "DISCARD": classDiscard, "END": classCommit, "EXPLAIN": classRead,
	"LISTEN": classNoOp, "NOTIFY": classNoOp, "RELEASE": classSavepoint, "RESET": classReset,
	"ROLLBACK": classRollback, "SAVEPOINT": classSavepoint, "SELECT": classRead, "SET": classSet,
	"SHOW": classShow, "START": classBegin, "TABLE": classRead, "UNLISTEN": classNoOp, "VALUES": classRead,
	"WITH": classRead,
}

// statement is one SQL statement of a client.
type statement struct {
	class class
	// keyword is the first word in upper case.
	keyword string
	// locking is true for a SELECT with a locking clause, which is run as a write.
	locking bool
	// text is the statement without leading comments and without a locking clause.
	text string
}

var (
	dataChangePattern = regexp.MustCompile(`(?i)\b(insert|update|delete)\b`)
	lockingPattern    = regexp.MustCompile(`(?i)\s+for\s+(no\s+key\s+update|update|key\s+share|share)(\s+of\s+[\w, ]+)?(\s+nowait|\s+skip\s+locked)?\s*$`)
	returningPattern  = regexp.MustCompile(`(?i)\breturning\b`)
	firstWordPattern  = regexp.MustCompile(`^[A-Za-z]+`)
)

func parseStatement(text string) *statement {
	text = strings.TrimSpace(skipComments(text))
	s := &statement{keyword: strings.ToUpper(firstWordPattern.FindString(text)), text: text}
	if text == "" {
		s.class = classEmpty
		return s
	}
	s.class = classWrite
	if c, known := classByKeyword[s.keyword]; known {
		s.class = c
	}
	withoutLiterals := blankLiterals(text)
	if s.keyword == "WITH" && dataChangePattern.MatchString(withoutLiterals) {
		s.class = classWrite
	}
	if s.keyword == "SELECT" && lockingPattern.MatchString(withoutLiterals) {
		s.class, s.locking = classWrite, true
		s.text = lockingPattern.ReplaceAllString(text, "")
	}
	if s.keyword == "ROLLBACK" && regexp.MustCompile(`(?i)\bto\b`).MatchString(withoutLiterals) {
		s.class = classSavepoint
	}
	return s
}

// returnsRows reports whether the statement has a result set.
func (s *statement) returnsRows() bool {
	switch s.class {
	case classCall, classRead, classShow:
		return true
	case classWrite:
		return s.locking || returningPattern.MatchString(blankLiterals(s.text))
	}
	return false
}

// tag returns the command tag for a number of rows.
func (s *statement) tag(rows int64) string {
	count := strconv.FormatInt(rows, 10)
	switch s.keyword {
	case "INSERT", "REPLACE":
		return "INSERT 0 " + count
	case "UPDATE", "DELETE", "COPY":
		return s.keyword + " " + count
	case "SELECT", "VALUES", "TABLE", "WITH":
		return "SELECT " + count
	case "CREATE", "DROP", "ALTER":
		words := strings.Fields(strings.ToUpper(s.text))
		if len(words) > 1 {
			return s.keyword + " " + words[1]
		}
	}
	return s.keyword
}

// scanQuoted calls yield for each piece of the text that is a literal, a quoted
// name or a comment (quoted is true), and for the text between them (quoted is
// false).
func scanQuoted(text string, yield func(piece string, quoted bool)) {
	start := 0
	for i := 0; i < len(text); {
		end := quotedEnd(text, i)
		if end == i {
			i++
			continue
		}
		if start < i {
			yield(text[start:i], false)
		}
		yield(text[i:end], true)
		i, start = end, end
	}
	if start < len(text) {
		yield(text[start:], false)
	}
}

// quotedEnd returns the end of the literal, quoted name or comment that
// starts at i, or i if none starts there.
func quotedEnd(text string, i int) int {
	switch {
	case text[i] == '\'' || text[i] == '"':
		for j := i + 1; j < len(text); j++ {
			if text[j] != text[i] {
				continue
			}
			if j+1 < len(text) && text[j+1] == text[i] {
				j++
				continue
			}
			return j + 1
		}
		return len(text)
	case strings.HasPrefix(text[i:], "--"):
		if n := strings.IndexByte(text[i:], '\n'); n >= 0 {
			return i + n
		}
		return len(text)
	case strings.HasPrefix(text[i:], "/*"):
		if n := strings.Index(text[i:], "*/"); n >= 0 {
			return i + n + len("*/")
		}
		return len(text)
	}
	return i
}

// skipComments removes leading comments, white space and semicolons.
func skipComments(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n;")
		if !strings.HasPrefix(text, "--") && !strings.HasPrefix(text, "/*") {
			return text
		}
		text = text[quotedEnd(text, 0):]
	}
}

// blankLiterals replaces literals, quoted names and comments by spaces, so that
// offsets in the text stay the same.
func blankLiterals(text string) string {
	var b strings.Builder
	scanQuoted(text, func(piece string, quoted bool) {
		if quoted {
			piece = strings.Repeat(" ", len(piece))
		}
		b.WriteString(piece)
	})
	return b.String()
}

// splitStatements splits a text at its semicolons and drops empty statements.
func splitStatements(text string) []string {
	var parts []string
	withoutLiterals := blankLiterals(text)
	start := 0
	for i := range len(withoutLiterals) {
		if withoutLiterals[i] == ';' {
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	parts = append(parts, text[start:])
	nonEmpty := parts[:0]
	for _, part := range parts {
		if skipComments(part) != "" {
			nonEmpty = append(nonEmpty, part)
		}
	}
	return nonEmpty
}

// rewrites are the replacements of PostgreSQL syntax by SQLite syntax. They are
// applied in order, outside of literals.
var rewrites = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`(?i)\b(big|small)?serial\s+primary\s+key`), "integer primary key autoincrement"},
	{regexp.MustCompile(`(?i)\bbigint\s+generated\s+(always|by\s+default)\s+as\s+identity\s+primary\s+key`), "integer primary key autoincrement"},
	{regexp.MustCompile(`(?i)\b(big|small)?serial\b`), "integer"},
	{regexp.MustCompile(`(?i)\btimestamp(tz)?(\s+with(out)?\s+time\s+zone)?\b`), "text"},
	{regexp.MustCompile(`(?i)::\s*(double\s+precision|character\s+varying|timestamp\s+with(out)?\s+time\s+zone|\w+)(\(\d+(,\s*\d+)?\))?(\[\])?`), ""},
	{regexp.MustCompile(`\$(\d+)`), "?$1"},
	{regexp.MustCompile(`(?i)\bilike\b`), "like"},
	{regexp.MustCompile(`(?i)\btruncate(\s+table)?\s+`), "delete from "},
}

// nowPattern matches the functions and keywords that return the current time.
var nowPattern = regexp.MustCompile(`(?i)\b(now\(\)|current_timestamp|clock_timestamp\(\)|transaction_timestamp\(\))`)

// rewriteSQL returns the statement in SQLite's dialect. The current time
// becomes a literal, so that a replay on a replica gives the same rows.
func rewriteSQL(text string, now time.Time) string {
	var b strings.Builder
	scanQuoted(text, func(piece string, quoted bool) {
		if quoted {
			b.WriteString(piece)
			return
		}
		for _, r := range rewrites {
			piece = r.pattern.ReplaceAllString(piece, r.replacement)
		}
		b.WriteString(nowPattern.ReplaceAllString(piece, "'"+timestampText(now)+"'"))
	})
	out := b.String()
	if len(out) > 6 && strings.EqualFold(out[:6], "TABLE ") {
		out = "SELECT * FROM " + out[6:]
	}
	return out
}
