package caller

import "strings"

// tokenKind is the kind of an SQL token.
type tokenKind string

const (
	tokenEnd       tokenKind = "End"
	tokenLiteral   tokenKind = "Literal"
	tokenPunct     tokenKind = "Punct"
	tokenQuoted    tokenKind = "Quoted"
	tokenSemicolon tokenKind = "Semicolon"
	tokenWord      tokenKind = "Word"
)

// sqlToken is one token. start is its offset in the SQL text. text is a substring
// of the SQL text; for a quoted identifier it excludes the quotes.
type sqlToken struct {
	kind  tokenKind
	start int
	text  string
}

// is reports whether the token is the given keyword, which must be in lower case.
func (t sqlToken) is(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

// tokenizer splits SQL into tokens like PostgreSQL with standard_conforming_strings
// on. Unterminated strings and comments extend to the end of the text.
type tokenizer struct {
	hints Hints
	pos   int
	sql   string
}

// next returns the next token, after whitespace and comments.
func (z *tokenizer) next() sqlToken {
	z.skipSpace()
	if z.pos >= len(z.sql) {
		return sqlToken{kind: tokenEnd, start: len(z.sql)}
	}
	start := z.pos
	c := z.sql[z.pos]
	switch {
	case c == ';':
		z.pos++
		return sqlToken{kind: tokenSemicolon, start: start, text: ";"}
	case c == '\'':
		z.skipString(false)
		return sqlToken{kind: tokenLiteral, start: start, text: z.sql[start:z.pos]}
	case c == '"':
		return z.quotedIdentifier()
	case c == '$':
		z.skipDollar()
		return sqlToken{kind: tokenLiteral, start: start, text: z.sql[start:z.pos]}
	case isDigit(c):
		for z.pos < len(z.sql) && (isWordByte(z.sql[z.pos]) || z.sql[z.pos] == '.') {
			z.pos++
		}
		return sqlToken{kind: tokenLiteral, start: start, text: z.sql[start:z.pos]}
	case isWordStart(c):
		return z.word()
	}
	z.pos++
	return sqlToken{kind: tokenPunct, start: start, text: z.sql[start:z.pos]}
}

// quotedIdentifier reads a quoted identifier. Doubled quotes stay doubled in the
// token text.
func (z *tokenizer) quotedIdentifier() sqlToken {
	start := z.pos
	z.pos++
	for z.pos < len(z.sql) {
		if z.sql[z.pos] != '"' {
			z.pos++
			continue
		}
		if z.pos+1 < len(z.sql) && z.sql[z.pos+1] == '"' {
			z.pos += 2
			continue
		}
		z.pos++
		return sqlToken{kind: tokenQuoted, start: start, text: z.sql[start+1 : z.pos-1]}
	}
	return sqlToken{kind: tokenQuoted, start: start, text: z.sql[start+1:]}
}

// skipBlockComment skips a block comment, which may be nested, and parses the hints
// in it.
func (z *tokenizer) skipBlockComment() {
	start := z.pos + 2
	depth := 0
	for z.pos < len(z.sql) {
		switch {
		case strings.HasPrefix(z.sql[z.pos:], "/*"):
			depth++
			z.pos += 2
		case strings.HasPrefix(z.sql[z.pos:], "*/"):
			depth--
			z.pos += 2
			if depth == 0 {
				z.hints.parse(z.sql[start : z.pos-2])
				return
			}
		default:
			z.pos++
		}
	}
}

// skipDollar skips a dollar-quoted string or a parameter such as $1.
func (z *tokenizer) skipDollar() {
	end := z.pos + 1
	for end < len(z.sql) && isWordByte(z.sql[end]) && z.sql[end] != '$' {
		end++
	}
	isParameter := end > z.pos+1 && isDigit(z.sql[z.pos+1])
	if isParameter || end >= len(z.sql) || z.sql[end] != '$' {
		z.pos = end
		return
	}
	tag := z.sql[z.pos : end+1]
	z.pos = end + 1
	if i := strings.Index(z.sql[z.pos:], tag); i >= 0 {
		z.pos += i + len(tag)
		return
	}
	z.pos = len(z.sql)
}

// skipLineComment skips a comment up to the end of the line and parses the hints in
// it.
func (z *tokenizer) skipLineComment() {
	end := strings.IndexAny(z.sql[z.pos:], "\r\n")
	if end < 0 {
		end = len(z.sql) - z.pos
	}
	z.hints.parse(z.sql[z.pos+2 : z.pos+end])
	z.pos += end
}

func (z *tokenizer) skipSpace() {
	for z.pos < len(z.sql) {
		rest := z.sql[z.pos:]
		switch {
		case isSpace(rest[0]):
			z.pos++
		case strings.HasPrefix(rest, "--"):
			z.skipLineComment()
		case strings.HasPrefix(rest, "/*"):
			z.skipBlockComment()
		default:
			return
		}
	}
}

// skipString skips the string that starts at the current position. If backslash is
// set, a backslash escapes the next character.
func (z *tokenizer) skipString(backslash bool) {
	z.pos++
	for z.pos < len(z.sql) {
		switch c := z.sql[z.pos]; {
		case c == '\\' && backslash:
			z.pos += 2
		case c == '\'' && z.pos+1 < len(z.sql) && z.sql[z.pos+1] == '\'':
			z.pos += 2
		case c == '\'':
			z.pos++
			return
		default:
			z.pos++
		}
	}
	z.pos = len(z.sql)
}

// word reads a word. A word E directly before a quote starts a string with
// backslash escapes.
func (z *tokenizer) word() sqlToken {
	start := z.pos
	for z.pos < len(z.sql) && isWordByte(z.sql[z.pos]) {
		z.pos++
	}
	text := z.sql[start:z.pos]
	if (text == "e" || text == "E") && z.pos < len(z.sql) && z.sql[z.pos] == '\'' {
		z.skipString(true)
		return sqlToken{kind: tokenLiteral, start: start, text: z.sql[start:z.pos]}
	}
	return sqlToken{kind: tokenWord, start: start, text: text}
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isSpace(c byte) bool {
	return c == ' ' || c >= '\t' && c <= '\r'
}

func isWordByte(c byte) bool {
	return isWordStart(c) || isDigit(c) || c == '$'
}

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}
