package session_test

import (
	"testing"

	"github.com/nutmegpier/nutmegpier/session"
)

// TestFailedSetup guards against a connection that another session uses with variables
// that were not set on it, because the batch that was to set them failed.
func TestFailedSetup(t *testing.T) {
	for name, commands := range map[string][]session.Command{
		"before a read":     {{Statement: statement(session.StatementRead)}},
		"before a begin":    {{Statement: statement(session.StatementBegin)}},
		"without variables": nil,
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer("a")
			s.fail = failOnce(session.StatementSet, session.KindFailed)
			batch := session.Batch{Commands: commands}
			if commands != nil {
				batch.Variables = map[string]string{"a": "1"}
			}
			_, failure := s.state.Run(s, testStart, batch)
			if want := commands != nil; (failure != nil) != want || s.state.Uncertain() != want {
				t.Errorf("failure %v, uncertain %t, want %t", failure, s.state.Uncertain(), want)
			}
			if s.count(session.StatementRead) != 0 {
				t.Error("the read ran without its variables")
			}
		})
	}
}

// TestStatementNames guards against two callers that share a prepared statement although
// they prepared different ones, because their texts were chosen to have the same hash. The
// texts have the same 64-bit FNV-1a sum.
func TestStatementNames(t *testing.T) {
	state := session.NewConnState()
	names := map[string]bool{}
	for _, template := range []session.Template{
		{Body: "8yn0iYCKYHlIj4-BwPqk"}, {Body: "GReLUrM4wMqfg9yzV3KQ"}, {Body: "GReLUrM4wMqfg9yzV3KQ", Write: true},
	} {
		for _, command := range state.Sync(nil, &template) {
			names[command.Name] = true
		}
	}
	if len(names) != 3 {
		t.Errorf("names %v, want 3", names)
	}
}
