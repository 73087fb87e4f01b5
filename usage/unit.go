package usage

import "github.com/nutmegpier/nutmegpier/session"

// Unit is what is counted once.
type Unit string

// Units of counts.
const (
	// UnitOperation counts a transaction once, at its first statement that a server
	// began, and each statement outside a transaction.
	UnitOperation Unit = "Operation"
	// UnitStatement counts each read, write and commit.
	UnitStatement Unit = "Statement"
)

// ReportedUnit is the unit of the reports. The wire protocol of the platform does not
// state it. In a played day the platform expected 2,703 requests in a window in which
// 3,975 statements had begun, and no window was off with operations.
const ReportedUnit = UnitOperation

// Begun returns the number of statements of a caller in a batch that a server began to
// run, given the failure of the batch. A server that refused them has not begun. If the
// response was lost, they count as begun, because they were sent.
func Begun(batch session.Batch, failure *session.RunError) int64 {
	if failure != nil && failure.Kind != session.KindFailed && failure.Kind != session.KindTimeout && failure.Kind != session.KindUnknown {
		return 0
	}
	count := int64(0)
	for _, command := range batch.Commands {
		switch command.Kind {
		case session.StatementCommit, session.StatementExecute, session.StatementRead, session.StatementWrite:
			if command.ID != "" {
				count++
			}
		default:
			// The proxy sends all other statements on its own behalf.
		}
	}
	return count
}

// Count returns the number of units for a number of begun statements. First is true if
// the server connection ran no earlier statement of the same operation.
func (u Unit) Count(begun int64, first bool) int64 {
	switch {
	case u == UnitStatement || begun == 0:
		return begun
	case first:
		return 1
	default:
		return 0
	}
}
