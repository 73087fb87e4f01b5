package caller

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Decision is the answer of a Gate to one request.
type Decision struct {
	// Admitted says whether the request may run.
	Admitted bool
	// RetryAfter is the time after which a refused request can succeed.
	RetryAfter time.Duration
	// Serving says whether the instance takes new work at all.
	Serving bool
}

// AdmissionController admits requests.
type AdmissionController interface {
	// Admit decides on one request of a workspace.
	Admit(now time.Time, workspace fleet.WorkspaceID) Decision
}
