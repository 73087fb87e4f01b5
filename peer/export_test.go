package peer

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// SetShare replaces a share, so that a test can simulate a faulty ledger.
func (l *Ledger) SetShare(now time.Time, id fleet.WorkspaceID, share workspace.Share) {
	l.limiter.Set(now, id, share)
}
