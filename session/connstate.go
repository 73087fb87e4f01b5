package session

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// ConnState is what a server connection holds of sessions: values, and
// prepared statements by the names that the instance gave them. Statements
// with the same template share a name, so that sessions share them.
type ConnState struct {
	prepared map[Template]bool
	values   map[string]string
}

// NewConnState returns the state of a new connection.
func NewConnState() *ConnState {
	return &ConnState{prepared: map[Template]bool{}, values: map[string]string{}}
}

// Align returns the commands that give the connection exactly the values, and
// the template if there is one. The state counts them as done: a connection
// on which one fails must be closed.
func (c *ConnState) Sync(values map[string]string, template *Template) []Command {
	var commands []Command
	for name := range c.values {
		if _, kept := values[name]; !kept {
			commands = append(commands, Command{Statement: Statement{Kind: StatementReset}})
			clear(c.values)
			clear(c.prepared)
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		value := values[name]
		if held, known := c.values[name]; known && held == value {
			continue
		}
		commands = append(commands, Command{Statement: Statement{Kind: StatementSet, Name: name, Value: value}})
		c.values[name] = value
	}
	if template != nil && !c.prepared[*template] {
		commands = append(commands, Command{Statement: Statement{Kind: StatementPrepare, Name: template.serverName(), Template: *template}})
		c.prepared[*template] = true
	}
	return commands
}

// Holds reports whether the connection has exactly these values.
func (c *ConnState) HasVariables(values map[string]string) bool {
	return maps.Equal(c.values, values)
}

// serverName is the name of the template on server connections. Names of
// callers collide with each other, so they are never used there.
func (t Template) serverName() string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(t.Text))
	mode := "r"
	if t.Write {
		mode = "w"
	}
	return mode + strconv.FormatUint(sum.Sum64(), 36)
}
