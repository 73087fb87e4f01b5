package caller

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// TokenParameter is the parameter that carries the session token, both as
// start-up parameter and as ParameterStatus.
const TokenParameter = "nutmegpier.session"

// tokenVersion starts the text form of a token.
const tokenVersion = "v1"

// Token is the position of a session in the log of its group. It makes reads
// consistent on each instance that the session roams to.
type Token struct {
	// Group is the group whose log the positions belong to.
	Group fleet.GroupID
	// Seen is the newest position that a read of the session saw.
	Seen fleet.Position
	// Written is the position of the session's last acknowledged write.
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

// String returns the text form "v1:group:written:seen". The group is escaped
// as in a URL query, so that it holds no colon and no space.
func (t Token) String() string {
	return tokenVersion + ":" + url.QueryEscape(string(t.Group)) + ":" + t.Written.String() + ":" + t.Seen.String()
}

// moveSeen returns the token after a read that saw position p, and whether it moved.
func (t Token) moveSeen(p fleet.Position) (Token, bool) {
	if p.Compare(t.Seen) <= 0 {
		return t, false
	}
	t.Seen = p
	return t, true
}

// moveWritten returns the token after an acknowledged write at position p, and
// whether it moved.
func (t Token) moveWritten(p fleet.Position) (Token, bool) {
	if p.Compare(t.Written) <= 0 {
		return t, false
	}
	t.Written = p
	return t, true
}

func tokenError(err error) error {
	return &Error{Op: "parse token", Kind: KindInvalidParameter, Err: err}
}
