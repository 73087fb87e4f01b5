package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

var (
	_ session.AccessController = &Gateway{}
	_ session.Observer         = &Gateway{}
	_ session.Router           = &Gateway{}
)

// notLeasedRetry is when a caller may come back that was refused because the
// store can't be reached: the time of a few calls.
const notLeasedRetry = 500 * time.Millisecond

// admitTries bounds how often an operation takes from the pools of a limit.
const admitTries = 2

// Admit takes one operation from the limit of the workspace.
func (g *Gateway) Admit(now time.Time, workspace fleet.WorkspaceID) *session.Error {
	if workspace == "" {
		return nil
	}
	g.limits.RecordDemand(now, workspace)
	decision := g.limits.Admit(now, workspace)
	reason := "other requests took what its pools gave"
	for tries := 0; !decision.Admitted && tries < admitTries; tries++ {
		taken, retryAfter, why := g.borrow(g.config.Clock(), workspace)
		if !taken {
			decision.RetryAfter, reason = min(decision.RetryAfter, retryAfter), why
			break
		}
		// Another request may have used what was taken.
		decision = g.limits.Admit(g.config.Clock(), workspace)
	}
	if decision.Admitted {
		return nil
	}
	return &session.Error{Err: fmt.Errorf("the workspace is over its rate; %s", reason), Kind: session.KindBusy, Op: "admit", RetryAfter: decision.RetryAfter}
}

// Check returns what a caller may do now.
func (g *Gateway) Authorize(now time.Time, credentials session.Credentials) (session.Access, *session.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routing == nil {
		return session.Access{}, &session.Error{Err: errors.New("no sheet was read yet"), Kind: session.KindBusy, Op: "check", RetryAfter: notLeasedRetry}
	}
	route, known := g.routing.Route(credentials.Database)
	if !known {
		return session.Access{}, &session.Error{Err: errors.New("no such database"), Kind: session.KindNoDatabase, Op: "check"}
	}
	access := session.Access{Route: route}
	access.Workspace, known = g.routing.Owner(credentials.Key)
	if route.OpenToAll {
		return access, nil
	}
	if !g.keysLeased(now) {
		return access, &session.Error{Err: errors.New("the sheet can't be proved to be the newest one"), Kind: session.KindBusy, Op: "check", RetryAfter: notLeasedRetry}
	}
	if !known {
		return access, &session.Error{Err: errors.New("the key is not accepted"), Kind: session.KindUnauthorized, Op: "check"}
	}
	return access, nil
}

// Observe counts and logs how one statement ended.
func (g *Gateway) Observe(now time.Time, ended session.Completion) {
	route := ended.Requirements.Route
	observeRequest(route.Database, ended.Latency, ended.Err)
	number := event.RequestFailed
	if ended.Err == nil {
		number = event.RequestLate
		if target := route.TargetLatency.Duration(); target == 0 || ended.Latency <= target {
			return
		}
	}
	g.config.Log.Request(now, number, event.Fields{
		Database:  route.Database,
		Request:   string(ended.Statement.ID),
		Server:    ended.Server,
		Text:      endText(ended) + g.inputs(now, route.Group),
		Workspace: ended.Requirements.Workspace,
	})
}

// inputs says what the instance knew when it decided on a request of a group.
func (g *Gateway) inputs(now time.Time, group fleet.GroupID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := "; no sheet"
	if g.routing != nil {
		text = fmt.Sprintf("; sheet %d proved %d ms ago", g.routing.Version, now.Sub(g.sheetAt).Milliseconds())
	}
	if state := g.groups[group]; state != nil {
		record := state.watch.Record()
		text += fmt.Sprintf("; primary %s %s in term %d", record.Primary, record.Phase, record.Term)
	}
	return text
}
