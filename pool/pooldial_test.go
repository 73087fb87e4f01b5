package pool_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// silentServer lets the time pass to the deadline of a dial and does not answer.
type silentServer struct {
	now time.Time
}

func (s *silentServer) Dial(deadline time.Time, _ pool.Server, _ fleet.WorkspaceID) (pool.Conn, *session.RunError) {
	s.now = deadline
	return nil, &session.RunError{Kind: session.KindUnknown, Text: "timeout"}
}

// TestDialWithoutTime guards against a connection that was granted too late to be opened
// before the request's deadline, and is reported as a failure of the server.
func TestDialWithoutTime(t *testing.T) {
	for _, test := range []struct {
		remaining time.Duration
		want      session.Kind
	}{
		{remaining: 5 * time.Millisecond, want: session.KindBusy},
		{remaining: 400 * time.Millisecond, want: session.KindUnknown},
	} {
		server := &silentServer{now: time.Unix(1000, 0)}
		p := pool.New(server, func() time.Time { return server.now })
		p.SetServers(server.now, []pool.Server{{Address: "a", ID: "s", Idle: 1, Limit: 1, Slots: 4}})
		_, failure := p.Acquire("s", pool.Request{Deadline: server.now.Add(test.remaining), Workspace: "w"})
		if failure == nil || failure.Kind != test.want {
			t.Errorf("no answer within %v: %+v, want kind %s", test.remaining, failure, test.want)
		}
		// The place of the connection is free again.
		if open := p.Gauges(server.now)["s"].Open; open != 0 {
			t.Errorf("%d connections are open after a failed dial, want none", open)
		}
	}
}
