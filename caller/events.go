package caller

import "github.com/nutmegpier/nutmegpier/fleet"

// EventName names what happened.
type EventName string

// EventRecorder that this package records.
const (
	// EventAuthenticationFailed means that no key of the workspace matched.
	EventAuthenticationFailed EventName = "AuthenticationFailed"
	// EventBackendLost means that a backend connection failed during a request.
	EventBackendLost EventName = "BackendLost"
	// EventCommitNotRun means that a commit was lost with certainty.
	EventCommitNotRun EventName = "CommitNotRun"
	// EventCommitUnknown means that the outcome of a commit isn't known.
	EventCommitUnknown EventName = "CommitUnknown"
	// EventKeyWithdrawn means that a session ends because its key was withdrawn.
	EventKeyWithdrawn EventName = "KeyWithdrawn"
	// EventRetry means that a request is rerun on another server.
	EventRetry EventName = "Retry"
	// EventSessionClosed means that this side closed a session.
	EventSessionClosed EventName = "SessionClosed"
)

// Event is one thing that happened. It never holds a key or SQL text.
type Event struct {
	// Group is the group of the session, or empty.
	Group fleet.GroupID
	// Name says what happened.
	Name EventName
	// Server is the backend server concerned, or empty.
	Server fleet.ServerID
	// Text adds a short reason.
	Text string
	// Workspace is the workspace of the session, or empty.
	Workspace fleet.WorkspaceID
}

// EventRecorder records what happens. It must not block.
type EventRecorder interface {
	// Record records one event.
	Record(event Event)
}
