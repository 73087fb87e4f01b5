package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// watchGroup follows the view of a group: it records what changes, and ends the
// requests on servers that cannot answer any more.
func (i *Instance) watchGroup(ctx context.Context, section GroupSection) error {
	watch := groupWatch{abortAfter: i.config.Settings.Detection.DetectTime}
	for {
		view, changed := section.Section.Watch()
		for _, change := range watch.observe(i.config.Now(), view) {
			if change.abort {
				i.pool.CloseInUse(change.server)
			}
			if change.number != 0 {
				i.config.Events.Record(change.number, change.fields(section.Group))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// groupWatch decides what the changes of a view lead to.
type groupWatch struct {
	// abortAfter is the time without an answer after which the requests on a
	// server are ended.
	abortAfter  time.Duration
	primary     fleet.ServerID
	unreachable map[fleet.ServerID]bool
}

// groupChange is one change of a view.
type groupChange struct {
	// abort asks to end the requests that wait for the server.
	abort bool
	// number is the event to record, or zero.
	number event.Number
	server fleet.ServerID
	term   fleet.Term
	text   string
}

func (c groupChange) fields(id fleet.GroupID) event.Fields {
	return event.Fields{Database: id, Server: c.server, Term: c.term, Text: c.text}
}

// observe returns the changes since the last view.
func (w *groupWatch) observe(now time.Time, view group.View) []groupChange {
	var changes []groupChange
	if view.Primary != "" && view.Primary != w.primary {
		changes = append(changes, groupChange{number: event.PrimaryChanged, server: view.Primary, term: view.Term})
		w.primary = view.Primary
	}
	for _, server := range view.Servers {
		changes = append(changes, w.observeServer(now, view, server)...)
	}
	return changes
}

func (w *groupWatch) observeServer(now time.Time, view group.View, server group.ServerView) []groupChange {
	if server.RespondedAt.IsZero() {
		return nil
	}
	var changes []groupChange
	reachable := server.Reachable()
	if reachable == w.unreachable[server.Server] {
		change := groupChange{number: event.ServerReachable, server: server.Server}
		if !reachable {
			change.number = event.ServerUnreachable
			change.text = fmt.Sprintf("%d requests failed", server.Failures)
		}
		changes = append(changes, change)
		if w.unreachable == nil {
			w.unreachable = make(map[fleet.ServerID]bool)
		}
		w.unreachable[server.Server] = !reachable
	}
	if w.isLost(now, view, server) {
		changes = append(changes, groupChange{abort: true, server: server.Server})
	}
	return changes
}

// isLost reports whether requests on the server are of no use any more. The
// primary's are kept until another server leads a later term, because its
// answers are the evidence of their commits.
func (w *groupWatch) isLost(now time.Time, view group.View, server group.ServerView) bool {
	return server.Server != view.Primary &&
		!server.Reachable() &&
		now.Sub(server.FailingSince) >= w.abortAfter
}
