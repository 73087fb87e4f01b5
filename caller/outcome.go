package caller

// Outcome says whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeCommitted means that a majority of the group holds the commit.
	OutcomeCommitted Outcome = "Committed"
	// OutcomeFailed means that the backend server refused the statement.
	OutcomeFailed Outcome = "Failed"
	// OutcomeNotRun means that the request certainly had no effect.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the request may or may not have had effect.
	OutcomeUnknown Outcome = "Unknown"
)

// detail returns the text for the Detail field of an error.
func (o Outcome) detail() string {
	return "Outcome: " + string(o)
}
