package caller

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// TokenParameter is the name of the parameter that carries the session token.
// Callers set it as a startup parameter or with SET, and the proxy reports it in
// ParameterStatus messages.
const TokenParameter = "nutmegpier.session"

// tokenVersion is the prefix of the text form of a token.
const tokenVersion = "v1"

// Token holds the log positions that a session has read and written. A session that
// continues on another instance brings its token, so that its reads stay
// consistent.
type Token struct {
	// Group is the group that the positions refer to.
	Group fleet.GroupID
	// Seen is the latest log position that a read of the session has seen.
	Seen fleet.Position
	// Written is the log position of the session's last acknowledged write.
	Written fleet.Position
}

// ParseToken parses the text form "v1:group:written:seen".
func ParseToken(text string) (Token, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 {
		return Token{}, tokenError(errors.New("session token: want v1:group:written:seen"))
	}
	if parts[0] != tokenVersion {
		return Token{}, tokenError(errors.New("session token: unknown version"))
	}
	group, err := url.QueryUnescape(parts[1])
	if err != nil || group == "" {
		return Token{}, tokenError(errors.New("session token: malformed group"))
	}
	written, err := fleet.ParsePosition(parts[2])
	if err != nil {
		return Token{}, tokenError(fmt.Errorf("session token: written: %w", err))
	}
	seen, err := fleet.ParsePosition(parts[3])
	if err != nil {
		return Token{}, tokenError(fmt.Errorf("session token: seen: %w", err))
	}
	return Token{Group: fleet.GroupID(group), Seen: seen, Written: written}, nil
}

// String returns the text form "v1:group:written:seen". The group is query-escaped,
// so that it contains no colon or space.
func (t Token) String() string {
	return tokenVersion + ":" + url.QueryEscape(string(t.Group)) + ":" + t.Written.String() + ":" + t.Seen.String()
}

// advanceSeen returns the token after a read that saw position p, and whether the
// token changed.
func (t Token) advanceSeen(p fleet.Position) (Token, bool) {
	if p.Compare(t.Seen) <= 0 {
		return t, false
	}
	t.Seen = p
	return t, true
}

// advanceWritten returns the token after an acknowledged write at position p, and
// whether the token changed.
func (t Token) advanceWritten(p fleet.Position) (Token, bool) {
	if p.Compare(t.Written) <= 0 {
		return t, false
	}
	t.Written = p
	return t, true
}

func tokenError(err error) error {
	return &Error{Op: "parse token", Kind: KindInvalidParameter, Err: err}
}
