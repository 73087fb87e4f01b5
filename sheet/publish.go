package sheet

import (
	"errors"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PublicationID identifies one request to publish a sheet. It is stored with the
// sheet version. If the response to the write is lost, the instance reads the row
// back and compares the ID to find out whether the write took effect.
type PublicationID string

// Outcome is the result of a publication.
type Outcome string

// Outcomes of a publication.
const (
	// OutcomeAccepted means that the version was stored and that a majority of the
	// instances in the roster holds it. All instances use it within seconds.
	OutcomeAccepted Outcome = "Accepted"
	// OutcomeConflict means that another sheet was published after the base
	// version. Nothing was changed.
	OutcomeConflict Outcome = "Conflict"
	// OutcomeDryRun means that the request was a dry run and that the sheet could
	// be published. Nothing was changed.
	OutcomeDryRun Outcome = "DryRun"
	// OutcomeInvalid means that the sheet is not valid. Nothing was changed.
	OutcomeInvalid Outcome = "Invalid"
	// OutcomeStored means that the version was stored, but that a majority of the
	// instances in the roster has not confirmed yet that it holds it.
	OutcomeStored Outcome = "Stored"
	// OutcomeUnknown means that the write of the version may or may not have taken
	// effect.
	OutcomeUnknown Outcome = "Unknown"
	// OutcomeUnsafe means that the sheet adds risks and that the request did not
	// set Force. Nothing was changed.
	OutcomeUnsafe Outcome = "Unsafe"
)

// PublishRequest is a request to publish a sheet.
type PublishRequest struct {
	// Base is the version that the operator edited. The sheet is published only if
	// it is still the newest version.
	Base    fleet.SheetVersion
	Comment string
	Content string
	DryRun  bool
	// Force publishes the sheet even if it adds risks.
	Force       bool
	Publication PublicationID
	// Publisher identifies the operator in the history.
	Publisher string
}

// PublishState is the state of the store and of the deployment on which the
// decision about a publication is based.
type PublishState struct {
	// AfterBase is the row of the version after the base of the request. It is
	// needed if the head is newer than the base: an earlier write of this request
	// may have taken effect before another publication followed.
	AfterBase VersionRow
	// Current is the sheet of the head version.
	Current Sheet
	// Head is the newest published version.
	Head fleet.SheetVersion
	// HeadPublication is the ID of the publication that wrote the head version.
	HeadPublication PublicationID
	Deployment      Deployment
}

// Decision is the decision about a publication: either to write a version or not,
// with the outcome.
type Decision struct {
	// Changes lists the differences from the current sheet, one line for each.
	Changes []string
	// Outcome is set if Write is false.
	Outcome Outcome
	// Problems lists the errors in the sheet, or the risks that it adds.
	Problems []string
	// Version is the version to write, or the head version if Write is false.
	Version fleet.SheetVersion
	// Write is true if Version must be written. The write must be conditional on
	// the head row still naming the previous version.
	Write bool
}

// DecidePublish decides whether a publication writes a version. If an earlier
// attempt of the same request took effect, the outcome is OutcomeStored and nothing
// is written again.
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

// tookEffect reports whether an earlier write of the same request took effect.
func tookEffect(state PublishState, request PublishRequest) bool {
	if request.Publication == "" {
		return false
	}
	next := state.AfterBase
	return request.Publication == state.HeadPublication || (next.Found && next.Publication == request.Publication)
}

// decideWrite completes the decision about a valid sheet without a conflict. The
// problems of the decision are the risks that the sheet adds.
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

// problemLines returns one line for each problem in an error of Parse.
func problemLines(err error) []string {
	var invalid *Error
	if errors.As(err, &invalid) {
		return invalid.Lines()
	}
	return []string{err.Error()}
}

// VersionRow is the row of a sheet version in the platform's table, read to find
// out which publication wrote it.
type VersionRow struct {
	// Found is true if the row exists.
	Found bool
	// Publication is the ID of the publication that wrote the row.
	Publication PublicationID
}

// Resolution is what is known about a write whose response was lost, after its row
// was read back.
type Resolution string

// Resolutions of a write whose response was lost.
const (
	// ResolutionConflict means that another publication wrote the version.
	ResolutionConflict Resolution = "Conflict"
	// ResolutionRepeat means that the version has not been written yet. The lost
	// write may still arrive. It is nevertheless safe to retry, because the write is
	// conditional and cannot take effect twice.
	ResolutionRepeat Resolution = "Repeat"
	// ResolutionStored means that the write took effect.
	ResolutionStored Resolution = "Stored"
)

// Resolve determines from the row of its version whether a write with a lost
// response took effect.
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
