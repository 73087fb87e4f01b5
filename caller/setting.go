package caller

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// proxySettingPrefix is the prefix of the settings that the proxy itself defines.
const proxySettingPrefix = "nutmegpier."

// maxAgeSetting is the setting for the maximum age of the data that reads return.
const maxAgeSetting = "nutmegpier.max_age"

// noOpSQL is sent instead of statements that the proxy handles itself. The caller
// gets its command tag, SET, also for a RESET or DEALLOCATE.
const noOpSQL = "SET application_name TO 'nutmegpier'"

// setting is a SET that is applied on each connection that the session uses.
type setting struct {
	name string
	sql  string
	// value is the value to report to the caller. It is only known for settings of
	// the startup message.
	value string
}

// isRefusedSetting reports whether a setting would break the classification of
// statements or the isolation between sessions.
func isRefusedSetting(name string) bool {
	return name == "role" || name == "session_authorization" || name == "standard_conforming_strings"
}

// isSettingName reports whether the name can be used unquoted in a SET statement.
func isSettingName(name string) bool {
	for i := range len(name) {
		if !isWordByte(name[i]) && name[i] != '.' || name[i] >= 0x80 {
			return false
		}
	}
	return name != "" && isWordStart(name[0])
}

// isProxySetting reports whether the proxy handles the setting itself.
func isProxySetting(name string) bool {
	return name == "application_name" || strings.HasPrefix(name, proxySettingPrefix)
}

// settingsToSQL returns the SQL text that applies the settings.
func settingsToSQL(settings []setting) string {
	statements := make([]string, 0, len(settings))
	for _, setting := range settings {
		statements = append(statements, setting.sql)
	}
	return strings.Join(statements, ";")
}

// withSetting returns a copy of the settings with one replaced or added.
func withSetting(settings []setting, added setting) []setting {
	result := make([]setting, 0, len(settings)+1)
	for _, setting := range settings {
		if setting.name != added.name {
			result = append(result, setting)
		}
	}
	return append(result, added)
}

// applyProxySetting applies a setting that the proxy itself defines.
func (s *session) applyProxySetting(name, value string) error {
	switch name {
	case TokenParameter:
		return s.setToken(value)
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

// setToken sets the session token that the caller provided.
func (s *session) setToken(text string) error {
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

// applySettings applies a committed SET, RESET or DISCARD to the settings of the
// session.
func (s *session) applySettings(change settingChange) {
	switch change.verb {
	case VerbSet:
		s.settings = withSetting(s.settings, setting{name: change.name, sql: change.sql})
	case VerbReset, VerbDiscard:
		s.resetSettings(change.name)
	}
	s.settingsSQL = settingsToSQL(s.settings)
}

// resetSettings restores one setting, or all, to the value at startup.
func (s *session) resetSettings(name string) {
	if name == "all" {
		s.settings = s.startupSettings
		return
	}
	var kept []setting
	for _, setting := range s.settings {
		if setting.name != name {
			kept = append(kept, setting)
		}
	}
	for _, setting := range s.startupSettings {
		if setting.name == name {
			kept = append(kept, setting)
		}
	}
	s.settings = kept
}

// settingChange is a recorded change of the session state: SET, RESET, DISCARD,
// DEALLOCATE, ROLLBACK TO or pinning the connection. Changes of settings take
// effect when the transaction commits.
type settingChange struct {
	name string
	sql  string
	verb Verb
}

// changeOf returns the change that a statement makes. Strings are cloned, because
// those of the statement keep the whole SQL text in memory.
func changeOf(statement *Statement) settingChange {
	return settingChange{name: strings.Clone(statement.Name), sql: strings.Clone(statement.Text), verb: statement.Verb}
}
