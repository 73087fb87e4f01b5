package caller

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Decision is the result of an admission check.
type Decision struct {
	// Admitted says whether the request may run under the workspace's rate.
	Admitted bool
	// RetryAfter is how long to wait before a refused request can succeed.
	RetryAfter time.Duration
	// Serving says whether the instance accepts new work at all.
	Serving bool
}

// AdmissionController decides whether requests may run.
type AdmissionController interface {
	// Admit makes the decision for one request of a workspace.
	Admit(now time.Time, workspace fleet.WorkspaceID) Decision
}
