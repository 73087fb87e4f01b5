package session

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// ConnState tracks the session variables and prepared statements that are
// currently set on one backend connection. Prepared statements have names
// derived from their template, so sessions that prepare the same template share
// one statement.
type ConnState struct {
	prepared  map[Template]bool
	variables map[string]string
}

// NewConnState returns the state of a new connection.
func NewConnState() *ConnState {
	return &ConnState{prepared: map[Template]bool{}, variables: map[string]string{}}
}

// Sync returns the commands that make the connection's session variables equal
// to variables and prepare the template, if it isn't nil. It records the commands
// as executed, so the connection must be closed if one of them fails.
func (c *ConnState) Sync(variables map[string]string, template *Template) []Command {
	var commands []Command
	for name := range c.variables {
		if _, kept := variables[name]; !kept {
			commands = append(commands, Command{Statement: Statement{Kind: StatementReset}})
			clear(c.variables)
			clear(c.prepared)
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		value := variables[name]
		if held, known := c.variables[name]; known && held == value {
			continue
		}
		commands = append(commands, Command{Statement: Statement{Kind: StatementSet, Name: name, Value: value}})
		c.variables[name] = value
	}
	if template != nil && !c.prepared[*template] {
		commands = append(commands, Command{Statement: Statement{Kind: StatementPrepare, Name: template.statementName(), Template: *template}})
		c.prepared[*template] = true
	}
	return commands
}

// HasVariables reports whether exactly these session variables are set on the
// connection.
func (c *ConnState) HasVariables(variables map[string]string) bool {
	return maps.Equal(c.variables, variables)
}

// statementName returns the name under which the template is prepared on backend
// connections. It is a hash of the template, because the names that callers
// choose can collide on a shared connection.
func (t Template) statementName() string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(t.Body))
	mode := "r"
	if t.Write {
		mode = "w"
	}
	return mode + strconv.FormatUint(sum.Sum64(), 36)
}
