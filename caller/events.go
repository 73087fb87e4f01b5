package caller

import "github.com/nutmegpier/nutmegpier/fleet"

// EventName is the name of an event.
type EventName string

// Names of the events that this package records.
const (
	// EventAuthenticationFailed means that a connection attempt failed in
	// authentication.
	EventAuthenticationFailed EventName = "AuthenticationFailed"
	// EventBackendLost means that a backend connection failed during a request.
	EventBackendLost EventName = "BackendLost"
	// EventCallerRefused means that a connection was refused or closed because there
	// were too many, or because callers held too many bytes.
	EventCallerRefused EventName = "CallerRefused"
	// EventCommitNotRun means that a commit was certainly lost in a change of
	// primary.
	EventCommitNotRun EventName = "CommitNotRun"
	// EventCommitUnknown means that it is unknown whether a commit is durable.
	EventCommitUnknown EventName = "CommitUnknown"
	// EventKeyWithdrawn means that a session is ended because its key was
	// withdrawn.
	EventKeyWithdrawn EventName = "KeyWithdrawn"
	// EventRetry means that a request is rerun, usually on another server.
	EventRetry EventName = "Retry"
	// EventSessionClosed means that the proxy closed a session.
	EventSessionClosed EventName = "SessionClosed"
)

// Event is a recorded event. It never contains a key or SQL text.
type Event struct {
	// Group is the group that serves the session, or empty.
	Group fleet.GroupID
	// Name is the name of the event.
	Name EventName
	// Server is the backend server concerned, or empty.
	Server fleet.ServerID
	// Text is the reason as sent to the caller, or empty.
	Text string
	// Workspace is the workspace of the session, or empty.
	Workspace fleet.WorkspaceID
}

// EventRecorder records events. It must not block.
type EventRecorder interface {
	// Record records one event.
	Record(event Event)
}
