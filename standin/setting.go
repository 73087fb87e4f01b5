package standin

import (
	"maps"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

var (
	resetPattern = regexp.MustCompile(`(?is)^reset\s+([\w.]+)\s*$`)
	setPattern   = regexp.MustCompile(`(?is)^set\s+(?:(?:session|local)\s+)?(time\s+zone|[\w.]+)\s*(?:=|\bto\b|\s)\s*(.*?)\s*$`)
	showPattern  = regexp.MustCompile(`(?is)^show\s+(time\s+zone|transaction\s+isolation\s+level|[\w.]+)\s*$`)
)

// reportedSettings maps the settings whose changes are reported to the client to
// the names under which they are reported.
var reportedSettings = map[string]string{settingApplicationName: settingApplicationName, "timezone": "TimeZone", "client_encoding": "client_encoding", "datestyle": "DateStyle"}

func (c *session) applicationName() string {
	return c.setting(settingApplicationName)
}

func (c *session) setting(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings[strings.ToLower(name)]
}

func (c *session) setSetting(name, value string) {
	name = strings.ToLower(name)
	c.mu.Lock()
	c.settings[name] = value
	c.mu.Unlock()
	if reported, ok := reportedSettings[name]; ok && c.backend != nil {
		c.backend.Send(&pgproto3.ParameterStatus{Name: reported, Value: value})
	}
}

// initialSetting returns the value that a setting has after start-up.
func (c *session) initialSetting(name string) string {
	for key, value := range c.startupParameters {
		if strings.EqualFold(key, name) {
			return value
		}
	}
	for i := range serverParameters {
		if strings.EqualFold(serverParameters[i].Name, name) {
			return serverParameters[i].Value
		}
	}
	return ""
}

// resetSettings sets all settings to their values after start-up.
func (c *session) resetSettings() {
	values := map[string]string{
		"default_transaction_read_only": "off",
		"search_path":                   `"$user", public`,
		"statement_timeout":             "0",
		"transaction_isolation":         "read committed",
		settingApplicationName:          "",
	}
	for i := range serverParameters {
		values[strings.ToLower(serverParameters[i].Name)] = serverParameters[i].Value
	}
	for name, value := range c.startupParameters {
		values[strings.ToLower(name)] = value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = maps.Clone(values)
}

func (c *session) runSet(s *statement) (*resultSet, error) {
	upper := strings.ToUpper(s.text)
	if strings.HasPrefix(upper, "SET TRANSACTION") || strings.HasPrefix(upper, "SET SESSION CHARACTERISTICS") {
		if c.tx != nil && strings.Contains(upper, "READ ONLY") {
			c.tx.readOnly = true
		}
		return &resultSet{}, nil
	}
	m := setPattern.FindStringSubmatch(s.text)
	if m == nil {
		return nil, newSQLError(codeSyntax, "syntax error in SET")
	}
	name, value := settingName(m[1]), unquote(m[2])
	if strings.EqualFold(m[2], "default") {
		value = c.initialSetting(name)
	}
	c.setSetting(name, value)
	return &resultSet{}, nil
}

func (c *session) runReset(s *statement) (*resultSet, error) {
	m := resetPattern.FindStringSubmatch(s.text)
	if m == nil {
		return nil, newSQLError(codeSyntax, "syntax error in RESET")
	}
	if strings.EqualFold(m[1], "all") {
		before := c.applicationName()
		c.resetSettings()
		if c.applicationName() != before {
			c.setSetting(settingApplicationName, c.applicationName())
		}
		return &resultSet{}, nil
	}
	c.setSetting(m[1], c.initialSetting(m[1]))
	return &resultSet{}, nil
}

func (c *session) runDiscard(s *statement) (*resultSet, error) {
	if s.keyword == "DEALLOCATE" {
		name := unquote(strings.TrimSpace(s.text[len("DEALLOCATE"):]))
		if strings.EqualFold(name, "all") {
			clear(c.prepared)
		}
		delete(c.prepared, name)
		return &resultSet{}, nil
	}
	if !strings.EqualFold(strings.Join(strings.Fields(s.text), " "), "discard all") {
		return &resultSet{}, nil
	}
	if c.tx != nil && c.tx.explicit {
		return nil, newSQLError(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	clear(c.prepared)
	clear(c.portals)
	return c.runReset(&statement{text: "RESET ALL"})
}

func (c *session) runShow(s *statement) (*resultSet, error) {
	m := showPattern.FindStringSubmatch(s.text)
	if m == nil {
		return nil, newSQLError(codeSyntax, "syntax error in SHOW")
	}
	name := settingName(m[1])
	if name == "group_status" {
		return c.statusRow(nil), nil
	}
	c.mu.Lock()
	value, known := c.settings[name]
	c.mu.Unlock()
	if !known {
		return nil, newSQLError(codeUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return textRow([]string{name}, []string{value}), nil
}

// settingName returns the lower-case name of a setting, also for the aliases that
// consist of several words.
func settingName(text string) string {
	switch name := strings.ToLower(strings.Join(strings.Fields(text), " ")); name {
	case "time zone":
		return "timezone"
	case "transaction isolation level":
		return "transaction_isolation"
	default:
		return name
	}
}

// textRow returns a result with a single row of text columns.
func textRow(names, values []string) *resultSet {
	set := &resultSet{affected: 1, rows: [][]any{make([]any, len(values))}}
	for i := range names {
		set.columns = append(set.columns, column{name: names[i], oid: pgtype.TextOID})
		set.rows[0][i] = values[i]
	}
	return set
}

// unquote removes the quotes of a literal or a quoted name, if there are any.
func unquote(text string) string {
	if n := len(text); n >= 2 && (text[0] == '\'' || text[0] == '"') && text[n-1] == text[0] {
		quote := text[:1]
		return strings.ReplaceAll(text[1:n-1], quote+quote, quote)
	}
	return text
}
