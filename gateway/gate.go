package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/workspace"
)

var (
	_ session.AccessController = &Gateway{}
	_ session.Observer         = &Gateway{}
	_ session.Router           = &Gateway{}
)

// storeRetryAfter is the retry delay sent to a caller that was refused because the
// store can't be reached: the duration of a few store calls.
const storeRetryAfter = 500 * time.Millisecond

// Admit takes a token for one operation from the rate limit of the workspace: from
// this instance's share, or else from the pools of the limit. An operation without
// a workspace is not limited.
func (g *Gateway) Admit(now time.Time, admission session.Admission) *session.Error {
	if admission.Workspace == "" {
		return nil
	}
	decision := g.tokens.admit(workspace.Request{
		Priority:  admission.Route.Priority,
		WaitUntil: workspace.TokenDeadline(now, admission.Route.TargetLatency.Duration(), admission.Deadline),
		Workspace: admission.Workspace,
	})
	if decision.Admitted {
		return nil
	}
	refusal := refusals[decision.Reason]
	text := refusal.text
	if decision.Owner != "" {
		text += " on " + string(decision.Owner)
	}
	return &session.Error{Err: errors.New(text), Kind: session.KindBusy, Op: "admit", Reason: refusal.reason, RetryAfter: decision.RetryAfter}
}

// refusal describes a reason of a refusal to the caller.
type refusal struct {
	reason session.Reason
	text   string
}

// refusals are the reasons for which an operation is not admitted.
var refusals = map[workspace.RefusalReason]refusal{
	workspace.RefusalLimitUnknown: {reason: session.ReasonLimitUnknown, text: "the limit of the workspace is not known to be in force"},
	workspace.RefusalOverRate:     {reason: session.ReasonOverRate, text: "the workspace is over its rate"},
	workspace.RefusalPoolSilent:   {reason: session.ReasonPoolSilent, text: "no answer from the pool of the workspace's limit"},
}

// Authorize returns the route and workspace for the credentials. Except for
// databases that are open to all, it fails if the key is not valid or the sheet was
// not verified within the key lease.
func (g *Gateway) Authorize(now time.Time, credentials session.Credentials) (session.Access, *session.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routing == nil {
		return session.Access{}, &session.Error{Err: errors.New("no sheet was read yet"), Kind: session.KindBusy, Op: "check", RetryAfter: storeRetryAfter}
	}
	route, known := g.routing.Route(credentials.Database)
	if !known {
		return session.Access{}, &session.Error{Err: errors.New("no such database"), Kind: session.KindNoDatabase, Op: "check"}
	}
	access := session.Access{Route: route}
	access.Workspace, _ = g.routing.Owner(credentials.Key)
	if route.OpenToAll {
		return access, nil
	}
	access.Authorization = g.authorization()
	return access, g.checkKey(now, access.Workspace)
}

// Reauthorize returns an error unless the key is still valid for the workspace of the
// access, or the access was to a database that is open to all.
func (g *Gateway) Reauthorize(now time.Time, credentials session.Credentials, access session.Access) (session.Authorization, *session.Error) {
	if access.Route.OpenToAll {
		return session.Authorization{}, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	workspace, _ := g.routing.Owner(credentials.Key)
	if err := g.checkKey(now, workspace); err != nil {
		return session.Authorization{}, err
	}
	if workspace != access.Workspace {
		// The key is valid, and a retry gets the access of its new workspace.
		return session.Authorization{}, &session.Error{Err: errors.New("the key now belongs to another workspace"), Kind: session.KindBusy, Op: "check"}
	}
	return g.authorization(), nil
}

// checkKey returns an error if the sheet was not verified within the key lease, or if
// the workspace of the key is empty. The caller holds g.mu.
func (g *Gateway) checkKey(now time.Time, workspace fleet.WorkspaceID) *session.Error {
	switch {
	case !g.keyLeaseValid(now):
		return &session.Error{Err: errors.New("the sheet can't be proved to be the newest one"), Kind: session.KindBusy, Op: "check", RetryAfter: storeRetryAfter}
	case workspace == "":
		return &session.Error{Err: errors.New("the key is not accepted"), Kind: session.KindUnauthorized, Op: "check"}
	default:
		return nil
	}
}

// Observe counts a completed statement, and logs it if it failed or exceeded the
// target latency of its route.
func (g *Gateway) Observe(now time.Time, completion session.Completion) {
	route := completion.Requirements.Route
	observeRequest(route.Database, completion.Latency, completion.Err)
	countRefusal(route.Database, completion.Requirements.Workspace, completion.Err)
	number := event.RequestFailed
	if completion.Err == nil {
		number = event.RequestLate
		if target := route.TargetLatency.Duration(); target == 0 || completion.Latency <= target {
			return
		}
	}
	g.config.Log.Request(now, number, event.Fields{
		Database:  route.Database,
		Request:   string(completion.Statement.ID),
		Server:    completion.Server,
		Text:      outcomeText(completion) + g.decisionInputs(now, route.Group),
		Workspace: completion.Requirements.Workspace,
	})
}

// decisionInputs describes the sheet and the primary record that this instance used
// to route a request of a group.
func (g *Gateway) decisionInputs(now time.Time, group fleet.GroupID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := "; no sheet loaded"
	if g.routing != nil {
		text = fmt.Sprintf("; sheet version %d last verified %d ms ago", g.routing.Version, now.Sub(g.sheetVerifiedAt).Milliseconds())
	}
	if state := g.groups[group]; state != nil {
		record := state.primaryLease.Record()
		text += fmt.Sprintf("; primary %s, record phase %s, term %d", record.Primary, record.Phase, record.Term)
	}
	return text
}
