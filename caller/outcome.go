package caller

import sessionpkg "github.com/nutmegpier/nutmegpier/session"

// Outcome says whether a request took effect.
type Outcome = sessionpkg.Outcome

// Outcomes of a request.
const (
	OutcomeCommitted = sessionpkg.OutcomeCommitted
	OutcomeFailed    = sessionpkg.OutcomeFailed
	OutcomeNotRun    = sessionpkg.OutcomeNotRun
	OutcomeUnknown   = sessionpkg.OutcomeUnknown
)

// outcomeDetail returns the line for the Detail field of an ErrorResponse. Callers
// read the outcome from it.
func outcomeDetail(o Outcome) string {
	return "Outcome: " + string(o)
}
