package caller

import core "github.com/nutmegpier/nutmegpier/session"

// Outcome says whether a request ran.
type Outcome = core.Outcome

// Outcomes of a request.
const (
	OutcomeCommitted = core.OutcomeCommitted
	OutcomeFailed    = core.OutcomeFailed
	OutcomeNotRun    = core.OutcomeNotRun
	OutcomeUnknown   = core.OutcomeUnknown
)

// detail returns the text for the Detail field of an error.
func detail(o Outcome) string {
	return "Outcome: " + string(o)
}
