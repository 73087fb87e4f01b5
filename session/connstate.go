package session

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"
)

// statementNameBytes is the length of the hash in a statement name.
const statementNameBytes = 16

// ConnState tracks the session variables and prepared statements that are
// currently set on one backend connection. Prepared statements have names
// derived from their template, so sessions that prepare the same template share
// one statement.
type ConnState struct {
	prepared map[Template]bool
	// uncertain is true after commands failed that set the state.
	uncertain bool
	variables map[string]string
}

// NewConnState returns the state of a new connection.
func NewConnState() *ConnState {
	return &ConnState{prepared: map[Template]bool{}, variables: map[string]string{}}
}

// Sync returns the commands that make the connection's session variables equal
// to variables and prepare the template, if it isn't nil. It records the commands
// as executed; if one of them fails, the state is uncertain.
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

// Runner runs commands on a backend connection in one round trip.
type Runner interface {
	// Run returns the reply to the last command, or the error of the first one that
	// failed.
	Run(deadline time.Time, commands []Command) (Reply, *RunError)
}

// Run brings the connection to the state that the batch needs and runs its commands.
// The state is set in a round trip of its own, so that no statement runs with other
// variables. A begin needs none: it runs nothing, and is rolled back if it failed.
func (c *ConnState) Run(conn Runner, deadline time.Time, batch Batch) (Reply, *RunError) {
	setup := c.Sync(batch.Variables, batch.Template)
	if len(setup) > 0 && beginsTransaction(batch.Commands) {
		reply, failure := conn.Run(deadline, append(setup, batch.Commands...))
		c.uncertain = c.uncertain || failure != nil
		return reply, failure
	}
	if len(setup) > 0 {
		if _, failure := conn.Run(deadline, setup); failure != nil {
			c.uncertain = true
			if !failure.Kind.NotRun() {
				// None of these commands writes, so the request had no effect.
				failure.Kind = KindBusy
			}
			return Reply{}, failure
		}
	}
	return conn.Run(deadline, batch.Commands)
}

func beginsTransaction(commands []Command) bool {
	return len(commands) > 0 && (commands[0].Kind == StatementBegin || commands[0].Kind == StatementBeginRead)
}

// Uncertain reports whether the state may differ from the one that was requested, because
// a command that set it failed. The connection must be closed then.
func (c *ConnState) Uncertain() bool {
	return c.uncertain
}

// HasVariables reports whether exactly these session variables are set on the
// connection.
func (c *ConnState) HasVariables(variables map[string]string) bool {
	return maps.Equal(c.variables, variables)
}

// statementName returns the name under which the template is prepared on backend
// connections. It is a cryptographic hash of the template, because sessions share the
// connection and the names and texts that callers choose may collide.
func (t Template) statementName() string {
	mode := "r"
	if t.Write {
		mode = "w"
	}
	sum := sha256.Sum256([]byte(t.Body))
	return mode + hex.EncodeToString(sum[:statementNameBytes])
}
