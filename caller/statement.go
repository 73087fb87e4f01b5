package caller

import (
	"strings"
	"time"
)

// Verb is the effect of a statement on the session or transaction.
type Verb string

// Verbs that the proxy handles specially. All other statements are VerbOther.
const (
	VerbBegin      Verb = "Begin"
	VerbCommit     Verb = "Commit"
	VerbDeallocate Verb = "Deallocate"
	VerbDiscard    Verb = "Discard"
	VerbEmpty      Verb = "Empty"
	VerbOther      Verb = "Other"
	VerbReset      Verb = "Reset"
	VerbRollback   Verb = "Rollback"
	VerbRollbackTo Verb = "RollbackTo"
	VerbSet        Verb = "Set"
)

// Hints are the hints in SQL comments of the form "nutmegpier: name, name=value".
type Hints struct {
	// Idempotent allows a retry if the outcome is unknown.
	Idempotent bool
	// MaxAge is the maximum age of the data that a read returns. Zero means no limit.
	MaxAge time.Duration
	// Primary sends reads to the primary.
	Primary bool
}

// Statement is the classification of one SQL statement.
type Statement struct {
	// Access says whether a replica can run the statement.
	Access Access
	// Name is the setting of SET and RESET in lower case ("all" for RESET ALL), the
	// argument of DISCARD, or the statement name of DEALLOCATE.
	Name string
	// Pins says that the statement leaves state on its connection, so that the
	// session must keep the connection.
	Pins bool
	// ReadOnly says that BEGIN starts a READ ONLY transaction.
	ReadOnly bool
	// RefusalReason says why the statement can't run over a shared connection. It
	// is empty if it can.
	RefusalReason string
	// ReadsSequenceState says that the statement calls currval or lastval, which
	// depend on earlier statements of the session.
	ReadsSequenceState bool
	// Text is the statement without the semicolon.
	Text string
	// MayChangeSession says that the statement may change session state in a way
	// that isn't visible in its text, for example through a function or DO block.
	MayChangeSession bool
	// Value is the value of SET, without quotes.
	Value string
	// Verb is the effect of the statement on the session or transaction.
	Verb Verb
}

// Classification is the classification of an SQL text, which may contain several
// statements.
type Classification struct {
	// First is the first statement. Its verb is VerbEmpty if there is none.
	First Statement
	// Hints are the combined hints of all comments.
	Hints Hints
	// Rest lists the statements after the first.
	Rest []Statement
}

// Classify classifies an SQL text. It is conservative: a statement that isn't
// recognised as a read counts as a write.
func Classify(sql string) Classification {
	z := tokenizer{sql: sql}
	var c Classification
	c.First = Statement{Access: AccessRead, Verb: VerbEmpty}
	for {
		first := z.next()
		if first.kind == tokenEnd {
			break
		}
		if first.kind == tokenSemicolon {
			continue
		}
		statement := z.statement(first)
		if c.First.Verb == VerbEmpty {
			c.First = statement
			continue
		}
		c.Rest = append(c.Rest, statement)
	}
	c.Hints = z.hints
	return c
}

// Access returns AccessWrite if any statement may write or a hint asks for the
// primary.
func (c *Classification) Access() Access {
	if c.First.Access == AccessWrite || c.Hints.Primary {
		return AccessWrite
	}
	for i := range c.Rest {
		if c.Rest[i].Access == AccessWrite {
			return AccessWrite
		}
	}
	return AccessRead
}

// ControlsTransaction reports whether a statement begins or ends a transaction or
// rolls back to a savepoint.
func (c *Classification) ControlsTransaction() bool {
	for s := range c.statements {
		switch s.Verb {
		case VerbBegin, VerbCommit, VerbRollback, VerbRollbackTo:
			return true
		}
	}
	return false
}

// RefusalReason returns why the SQL text can't run over a shared connection, or the
// empty string.
func (c *Classification) RefusalReason() string {
	for s := range c.statements {
		if s.RefusalReason != "" {
			return s.RefusalReason
		}
	}
	return ""
}

// statements iterates over all statements.
func (c *Classification) statements(yield func(*Statement) bool) {
	if !yield(&c.First) {
		return
	}
	for i := range c.Rest {
		if !yield(&c.Rest[i]) {
			return
		}
	}
}

// parse parses the hints in one comment. Unknown and invalid hints are ignored.
func (h *Hints) parse(comment string) {
	list, found := strings.CutPrefix(strings.TrimSpace(comment), "nutmegpier:")
	for found && list != "" {
		var hint string
		hint, list, _ = strings.Cut(list, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(hint), "=")
		switch strings.TrimSpace(name) {
		case "idempotent":
			h.Idempotent = true
		case "max_age":
			if age, err := time.ParseDuration(strings.TrimSpace(value)); err == nil && age > 0 {
				h.MaxAge = age
			}
		case "primary":
			h.Primary = true
		}
	}
}

// statement reads and classifies one statement, up to the semicolon.
func (z *tokenizer) statement(first sqlToken) Statement {
	s := Statement{Access: AccessWrite, Verb: VerbOther}
	var end sqlToken
	switch {
	case first.is("begin"), first.is("start"):
		end = z.classifyBegin(&s)
	case first.is("commit"), first.is("end"):
		end = z.classifyTransactionEnd(&s, VerbCommit)
	case first.is("rollback"), first.is("abort"):
		end = z.classifyTransactionEnd(&s, VerbRollback)
	case first.is("set"):
		end = z.classifySet(&s)
	case first.is("reset"):
		end = z.classifyNamed(&s, VerbReset)
	case first.is("discard"):
		end = z.classifyNamed(&s, VerbDiscard)
	case first.is("deallocate"):
		end = z.classifyDeallocate(&s)
	case first.is("select"), first.is("values"), first.is("table"), first.is("with"), first.is("show"):
		s.Access = AccessRead
		end = z.scanRest(&s, first)
	case first.kind == tokenPunct && first.text == "(":
		s.Access = AccessRead
		end = z.scanRest(&s, first)
		if !startsQuery(z.sql[first.start:]) {
			s.Access = AccessWrite
		}
	default:
		end = z.classifyOther(&s, first)
	}
	s.Text = z.sql[first.start:end.start]
	return s
}

// classifyBegin classifies BEGIN and START TRANSACTION. The last READ ONLY or READ
// WRITE determines the access.
func (z *tokenizer) classifyBegin(s *Statement) sqlToken {
	s.Verb = VerbBegin
	var previous sqlToken
	for {
		t := z.next()
		if isStatementEnd(t) {
			return t
		}
		if previous.is("read") {
			s.ReadOnly = t.is("only")
			s.Access = AccessWrite
		}
		if s.ReadOnly {
			s.Access = AccessRead
		}
		previous = t
	}
}

func (z *tokenizer) classifyDeallocate(s *Statement) sqlToken {
	s.Verb = VerbDeallocate
	s.Access = AccessRead
	t := z.next()
	if t.is("prepare") {
		t = z.next()
	}
	s.Name = identifier(t)
	return z.skipToEnd(t)
}

// classifyTransactionEnd classifies COMMIT and ROLLBACK, including ROLLBACK TO
// SAVEPOINT. With PREPARED they act on a prepared transaction instead of the
// current one.
func (z *tokenizer) classifyTransactionEnd(s *Statement, verb Verb) sqlToken {
	s.Verb = verb
	for {
		t := z.next()
		switch {
		case isStatementEnd(t):
			return t
		case t.is("to") && verb == VerbRollback:
			s.Verb = VerbRollbackTo
		case t.is("prepared"):
			s.Verb = VerbOther
		}
	}
}

// classifyNamed classifies RESET and DISCARD, which have a name as argument.
func (z *tokenizer) classifyNamed(s *Statement, verb Verb) sqlToken {
	s.Verb = verb
	s.Access = AccessRead
	t := z.next()
	s.Name = identifier(t)
	switch {
	case t.is("time"):
		s.Name = "timezone"
	case t.is("session"):
		s.RefusalReason = "the role of a shared connection can't be changed"
	}
	t = z.next()
	for t.kind == tokenPunct && t.text == "." {
		s.Name += "." + identifier(z.next())
		t = z.next()
	}
	return z.skipToEnd(t)
}

// classifyOther classifies statements that always go to the primary.
func (z *tokenizer) classifyOther(s *Statement, first sqlToken) sqlToken {
	switch {
	case first.is("listen"):
		s.RefusalReason = "LISTEN isn't supported over shared connections"
	case first.is("prepare"), first.is("load"):
		s.Pins = true
	case first.is("do"), first.is("call"), first.is("execute"):
		s.MayChangeSession = true
	case first.is("create"):
		t := z.next()
		if t.is("local") || t.is("global") {
			t = z.next()
		}
		s.Pins = t.is("temp") || t.is("temporary") || t.is("or")
		if isStatementEnd(t) {
			return t
		}
	}
	return z.scanRest(s, first)
}

// scanRest reads the rest of a statement and looks for keywords and function calls
// that write or leave state on the connection.
func (z *tokenizer) scanRest(s *Statement, previous sqlToken) sqlToken {
	isDeclare := previous.is("declare")
	var beforePrevious sqlToken
	for {
		t := z.next()
		if isStatementEnd(t) {
			return t
		}
		switch {
		case t.kind == tokenPunct && t.text == "(" && isName(previous):
			s.applyCall(previous.text)
		case t.is("insert"), t.is("update"), t.is("delete"), t.is("merge"), t.is("into"):
			s.Access = AccessWrite
		case previous.is("into") && (t.is("temp") || t.is("temporary")):
			s.Pins = true
		case previous.is("for") && (t.is("share") || t.is("no") || t.is("key")):
			s.Access = AccessWrite
		case isDeclare && t.is("hold") && previous.is("with") && !beforePrevious.is("without"):
			s.Pins = true
		}
		beforePrevious, previous = previous, t
	}
}

// classifySet classifies the forms of SET.
func (z *tokenizer) classifySet(s *Statement) sqlToken {
	s.Verb = VerbSet
	s.Access = AccessRead
	t := z.next()
	if t.is("session") {
		t = z.next()
		if t.is("characteristics") {
			s.Name = "session characteristics"
			return z.skipToEnd(t)
		}
	}
	switch {
	case t.is("local"), t.is("transaction"), t.is("constraints"):
		s.Verb = VerbOther
		return z.skipToEnd(t)
	case t.is("role"), t.is("authorization"):
		s.RefusalReason = "the role of a shared connection can't be changed"
		return z.skipToEnd(t)
	case t.is("time"):
		s.Name = "timezone"
		return z.skipToEnd(z.next())
	}
	return z.parseSetValue(s, t)
}

// parseSetValue parses the name and value of SET name = value.
func (z *tokenizer) parseSetValue(s *Statement, t sqlToken) sqlToken {
	s.Name = identifier(t)
	if isStatementEnd(t) {
		return t
	}
	for t = z.next(); t.kind == tokenPunct && t.text == "."; t = z.next() {
		part := z.next()
		s.Name += "." + identifier(part)
	}
	if s.Name == "standard_conforming_strings" || s.Name == "role" || s.Name == "session_authorization" {
		s.RefusalReason = "setting " + s.Name + " isn't supported over shared connections"
	}
	if isStatementEnd(t) {
		return t
	}
	start := z.pos
	end := z.skipToEnd(z.next())
	s.Value = strings.TrimSpace(z.sql[min(start, end.start):end.start])
	if n := len(s.Value); n >= 2 && s.Value[0] == '\'' && s.Value[n-1] == '\'' {
		s.Value = s.Value[1 : n-1]
	}
	return end
}

// skipToEnd skips to the end of the statement, from token t on.
func (z *tokenizer) skipToEnd(t sqlToken) sqlToken {
	for !isStatementEnd(t) {
		t = z.next()
	}
	return t
}

// applyCall applies the effect of a call of the named function.
func (s *Statement) applyCall(name string) {
	switch effectOf(name) {
	case effectPins:
		s.Access = AccessWrite
		s.Pins = true
	case effectSequence:
		s.ReadsSequenceState = true
	case effectWrites:
		s.Access = AccessWrite
	}
}

// effect is the effect of a function call.
type effect string

const (
	effectNone     effect = ""
	effectPins     effect = "Pins"
	effectSequence effect = "Sequence"
	effectWrites   effect = "Writes"
)

// maxFunctionName is the maximum length, in bytes, of the names in functionEffects.
const maxFunctionName = 32

// functionEffects lists functions of PostgreSQL and its dblink extension that write
// or that use session state.
var functionEffects = map[string]effect{
	"currval":                     effectSequence,
	"dblink":                      effectWrites,
	"dblink_connect":              effectPins,
	"dblink_exec":                 effectWrites,
	"lastval":                     effectSequence,
	"lo_create":                   effectWrites,
	"lo_creat":                    effectWrites,
	"lo_from_bytea":               effectWrites,
	"lo_import":                   effectWrites,
	"lo_put":                      effectWrites,
	"lo_unlink":                   effectWrites,
	"nextval":                     effectWrites,
	"pg_advisory_lock":            effectPins,
	"pg_advisory_lock_shared":     effectPins,
	"pg_advisory_unlock":          effectWrites,
	"pg_advisory_unlock_all":      effectWrites,
	"pg_advisory_unlock_shared":   effectWrites,
	"pg_advisory_xact_lock":       effectWrites,
	"pg_cancel_backend":           effectWrites,
	"pg_current_xact_id":          effectWrites,
	"pg_logical_emit_message":     effectWrites,
	"pg_notify":                   effectWrites,
	"pg_terminate_backend":        effectWrites,
	"pg_try_advisory_lock":        effectPins,
	"pg_try_advisory_lock_shared": effectPins,
	"pg_try_advisory_xact_lock":   effectWrites,
	"set_config":                  effectPins,
	"setval":                      effectWrites,
	"txid_current":                effectWrites,
}

// effectOf returns the effect of a function. It doesn't allocate.
func effectOf(name string) effect {
	if len(name) > maxFunctionName {
		return effectNone
	}
	var lower [maxFunctionName]byte
	for i := range len(name) {
		c := name[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	return functionEffects[string(lower[:len(name)])]
}

// identifier returns a name as PostgreSQL does: unquoted names in lower case.
func identifier(t sqlToken) string {
	switch t.kind {
	case tokenQuoted:
		return strings.ReplaceAll(t.text, `""`, `"`)
	case tokenWord:
		return strings.ToLower(t.text)
	}
	return ""
}

func isName(t sqlToken) bool {
	return t.kind == tokenWord || t.kind == tokenQuoted
}

func isStatementEnd(t sqlToken) bool {
	return t.kind == tokenEnd || t.kind == tokenSemicolon
}

// startsQuery reports whether the first word after the opening parentheses starts a
// query.
func startsQuery(sql string) bool {
	z := tokenizer{sql: sql}
	t := z.next()
	for t.kind == tokenPunct && t.text == "(" {
		t = z.next()
	}
	return t.is("select") || t.is("values") || t.is("table") || t.is("with")
}
