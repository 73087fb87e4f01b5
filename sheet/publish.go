package sheet

import (
	"errors"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PublicationID identifies one attempt to publish. The table keeps it with the
// version, so that a lost answer can be settled by reading back.
type PublicationID string

// Outcome says what became of a publication.
type Outcome string

// Outcomes of a publication.
const (
	// OutcomeAccepted means that the version took effect and a majority of the
	// roster holds it. It is in force everywhere within seconds.
	OutcomeAccepted Outcome = "Accepted"
	// OutcomeConflict means that another sheet was published since the base
	// version. Nothing was changed.
	OutcomeConflict Outcome = "Conflict"
	// OutcomeDryRun means that the sheet could be published. Nothing was changed.
	OutcomeDryRun Outcome = "DryRun"
	// OutcomeInvalid means that the sheet has problems. Nothing was changed.
	OutcomeInvalid Outcome = "Invalid"
	// OutcomeStored means that the version took effect, but a majority of the
	// roster has not confirmed it yet.
	OutcomeStored Outcome = "Stored"
	// OutcomeUnknown means that it could not be found out whether the version
	// took effect.
	OutcomeUnknown Outcome = "Unknown"
	// OutcomeUnsafe means that the sheet has unsafe effects and was not forced.
	// Nothing was changed.
	OutcomeUnsafe Outcome = "Unsafe"
)

// PublishRequest asks to publish a sheet.
type PublishRequest struct {
	// Base is the version that the operator saw.
	Base    fleet.SheetVersion
	Comment string
	Content string
	DryRun  bool
	// Force accepts unsafe effects.
	Force       bool
	Publication PublicationID
	// Publisher says who publishes, for the history.
	Publisher string
}

// PublishState is what is known when a publication is decided.
type PublishState struct {
	// AfterBase is the row of the version after the request's base. It is
	// needed when the head has passed the base: a write that seemed lost may
	// have taken effect before another publication followed.
	AfterBase VersionRow
	Current   Sheet
	// Head is the version in force.
	Head fleet.SheetVersion
	// HeadPublication is the publication that made the head version.
	HeadPublication PublicationID
	Deployment      Deployment
}

// Decision says whether to write a version.
type Decision struct {
	// Changes lists the differences from the sheet in force, one a line.
	Changes []string
	// Outcome is set when nothing is to be written.
	Outcome Outcome
	// Problems lists what is wrong with the sheet or unsafe in it.
	Problems []string
	// Version is the version to write, or the one in force.
	Version fleet.SheetVersion
	// Write asks for a write of Version on the condition that the head row
	// still names the version before it.
	Write bool
}

// DecidePublish decides on a publication. A repeated request that already took
// effect is stored, never written twice.
func DecidePublish(state PublishState, request PublishRequest) Decision {
	decision := Decision{Version: state.Head}
	if tookEffect(state, request) {
		decision.Outcome = OutcomeStored
		return decision
	}
	parsed, err := Parse("sheet", []byte(request.Content))
	if err != nil {
		decision.Outcome = OutcomeInvalid
		decision.Problems = problemLines(err)
		return decision
	}
	decision.Changes = DiffLines(state.Current, parsed)
	if request.Base != state.Head {
		decision.Outcome = OutcomeConflict
		return decision
	}
	for _, risk := range NewRisks(state.Current, parsed, state.Deployment) {
		decision.Problems = append(decision.Problems, risk.String())
	}
	return decideWrite(decision, request)
}

// tookEffect reports whether an earlier write of the request took effect.
func tookEffect(state PublishState, request PublishRequest) bool {
	if request.Publication == "" {
		return false
	}
	after := state.AfterBase
	return request.Publication == state.HeadPublication || (after.Found && after.Publication == request.Publication)
}

func decideWrite(decision Decision, request PublishRequest) Decision {
	switch {
	case len(decision.Problems) > 0 && !request.Force:
		decision.Outcome = OutcomeUnsafe
	case request.DryRun:
		decision.Outcome = OutcomeDryRun
	default:
		decision.Version++
		decision.Write = true
	}
	return decision
}

func problemLines(err error) []string {
	var invalid *Error
	if errors.As(err, &invalid) {
		return invalid.Lines()
	}
	return []string{err.Error()}
}

// VersionRow is what the table says about a version whose write had no answer.
type VersionRow struct {
	// Found is true when the row of the version exists.
	Found bool
	// Publication is the publication that wrote the row.
	Publication PublicationID
}

// Resolution says how a write without an answer is settled.
type Resolution string

// Resolutions of a write without an answer.
const (
	// ResolutionConflict means that another publication has the version.
	ResolutionConflict Resolution = "Conflict"
	// ResolutionRepeat means that no publication has the version yet. The write
	// may still be under way, so it is repeated: its condition keeps it from
	// taking effect twice.
	ResolutionRepeat Resolution = "Repeat"
	// ResolutionStored means that the write took effect.
	ResolutionStored Resolution = "Stored"
)

// Resolve settles a write without an answer from the row of its version.
func Resolve(publication PublicationID, row VersionRow) Resolution {
	switch {
	case !row.Found:
		return ResolutionRepeat
	case row.Publication == publication:
		return ResolutionStored
	default:
		return ResolutionConflict
	}
}
