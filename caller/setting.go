package caller

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// settingPrefix starts the names of the proxy's own settings.
const settingPrefix = "nutmegpier."

// maxAgeSetting is the setting for the age of data that reads accept.
const maxAgeSetting = "nutmegpier.max_age"

// harmlessSQL replaces statements that the proxy acts on itself. The tag of
// its answer is the same.
const harmlessSQL = "SET application_name TO 'nutmegpier'"

// setting is one SET that is replayed on each connection of the session.
type setting struct {
	name  string
	text  string
	value string
}

// isRefusedSetting reports whether a setting would break the relay or the
// separation of sessions.
func isRefusedSetting(name string) bool {
	return name == "role" || name == "session_authorization" || name == "standard_conforming_strings"
}

// isSettingName reports whether a name can stand in a SET statement unquoted.
func isSettingName(name string) bool {
	for i := range len(name) {
		if !isWordByte(name[i]) && name[i] != '.' || name[i] >= 0x80 {
			return false
		}
	}
	return name != "" && isWordStart(name[0])
}

// isOwnSetting reports whether the proxy acts on the setting itself.
func isOwnSetting(name string) bool {
	return name == "application_name" || strings.HasPrefix(name, settingPrefix)
}

// profileOf returns the SQL that puts the settings into effect.
func profileOf(settings []setting) string {
	texts := make([]string, 0, len(settings))
	for _, setting := range settings {
		texts = append(texts, setting.text)
	}
	return strings.Join(texts, ";")
}

// withSetting returns the settings with one replaced or added. The input is
// left as it is.
func withSetting(settings []setting, added setting) []setting {
	result := make([]setting, 0, len(settings)+1)
	for _, setting := range settings {
		if setting.name != added.name {
			result = append(result, setting)
		}
	}
	return append(result, added)
}

// ownSetting takes one of the proxy's own settings into the session.
func (s *session) ownSetting(name, value string) error {
	switch name {
	case TokenParameter:
		return s.takeToken(value)
	case maxAgeSetting:
		age, err := time.ParseDuration(value)
		if err != nil || age < 0 {
			return &Error{Op: "set", Kind: KindInvalidParameter, Err: errors.New("nutmegpier.max_age: want a duration such as 500ms")}
		}
		s.maxAge = age
		return nil
	}
	return &Error{Op: "set", Kind: KindInvalidParameter, Err: fmt.Errorf("unknown setting %s", name)}
}

// takeToken takes a session token that the caller handed over.
func (s *session) takeToken(text string) error {
	token, err := ParseToken(text)
	if err != nil {
		return err
	}
	if token.Group != s.group {
		return &Error{Op: "parse token", Kind: KindInvalidParameter, Err: fmt.Errorf("session token belongs to group %q, not to %q", token.Group, s.group)}
	}
	s.token, s.hasToken = token, true
	return nil
}

// applySettings takes the effect of a successful SET, RESET, DISCARD or
// DEALLOCATE into the session.
func (s *session) applySettings(statement settingChange) {
	switch statement.verb {
	case VerbSet:
		s.settings = withSetting(s.settings, setting{name: statement.name, text: statement.text})
	case VerbReset, VerbDiscard:
		s.resetSettings(statement.name)
	}
	s.profile = profileOf(s.settings)
}

// resetSettings puts one setting, or all, back to the value of the start-up.
func (s *session) resetSettings(name string) {
	if name == "all" {
		s.settings = s.initial
		return
	}
	var kept []setting
	for _, setting := range s.settings {
		if setting.name != name {
			kept = append(kept, setting)
		}
	}
	for _, setting := range s.initial {
		if setting.name == name {
			kept = append(kept, setting)
		}
	}
	s.settings = kept
}

// settingChange is a SET, RESET, DISCARD or DEALLOCATE that takes effect when
// its transaction commits.
type settingChange struct {
	name string
	text string
	verb Verb
}

// changeOf copies what is kept of a statement, since its text is part of a buffer.
func changeOf(statement *Statement) settingChange {
	return settingChange{name: strings.Clone(statement.Name), text: strings.Clone(statement.Text), verb: statement.Verb}
}
