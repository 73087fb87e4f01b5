package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// watchGroup records the changes of a group's view as events, and aborts the
// requests on backend servers that can no longer answer.
func (i *Instance) watchGroup(ctx context.Context, section GroupSection) error {
	watch := groupWatch{abortAfter: i.config.Settings.Detection.DetectTime}
	for {
		view, changed := section.Section.Watch()
		for _, change := range watch.observe(i.config.Now(), view) {
			if change.abort {
				i.pool.CloseInUse(change.server)
			}
			if change.eventNumber != 0 {
				i.config.Events.Record(change.eventNumber, change.fields(section.Group))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// groupWatch compares successive views of a group and decides which events to
// record and which requests to abort.
type groupWatch struct {
	// abortAfter is how long a server must have been failing before its requests
	// are aborted.
	abortAfter  time.Duration
	primary     fleet.ServerID
	unreachable map[fleet.ServerID]bool
}

// groupChange is a change between two views, with the action that it requires.
type groupChange struct {
	// abort means that the requests waiting for the server are aborted.
	abort bool
	// eventNumber is the event to record; zero means none.
	eventNumber event.Number
	server      fleet.ServerID
	term        fleet.Term
	text        string
}

func (c groupChange) fields(id fleet.GroupID) event.Fields {
	return event.Fields{Database: id, Server: c.server, Term: c.term, Text: c.text}
}

// observe returns the changes since the last call.
func (w *groupWatch) observe(now time.Time, view group.View) []groupChange {
	var changes []groupChange
	if view.Primary != "" && view.Primary != w.primary {
		changes = append(changes, groupChange{eventNumber: event.PrimaryChanged, server: view.Primary, term: view.Term})
		w.primary = view.Primary
	}
	for _, server := range view.Servers {
		changes = append(changes, w.observeServer(now, view, server)...)
	}
	return changes
}

// observeServer returns the changes of one server since the last call. A server
// that has never answered has none.
func (w *groupWatch) observeServer(now time.Time, view group.View, server group.ServerView) []groupChange {
	if server.RespondedAt.IsZero() {
		return nil
	}
	var changes []groupChange
	reachable := server.Reachable()
	if reachable == w.unreachable[server.Server] {
		change := groupChange{eventNumber: event.ServerReachable, server: server.Server}
		if !reachable {
			change.eventNumber = event.ServerUnreachable
			change.text = fmt.Sprintf("%d requests failed since the last response", server.Failures)
		}
		changes = append(changes, change)
		if w.unreachable == nil {
			w.unreachable = make(map[fleet.ServerID]bool)
		}
		w.unreachable[server.Server] = !reachable
	}
	if w.shouldAbort(now, view, server) {
		changes = append(changes, groupChange{abort: true, server: server.Server})
	}
	return changes
}

// shouldAbort reports whether the requests on a server can no longer succeed. The
// requests on the primary are kept until another server is primary in a later
// term, because its answers are the only proof that they were committed.
func (w *groupWatch) shouldAbort(now time.Time, view group.View, server group.ServerView) bool {
	return server.Server != view.Primary &&
		!server.Reachable() &&
		now.Sub(server.FailingSince) >= w.abortAfter
}
