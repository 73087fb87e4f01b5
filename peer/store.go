package peer

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// pollInstanceList reads the platform's list of instances. If that fails, the
// last list stays in use.
func (c *Controller) pollInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := c.config.Instances.List(ctx)
	if err != nil {
		return
	}
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.membership.RecordList(now, listed)
}

// pollStore reads the head row, fetches the rows that it names, and proposes the
// next roster if a change is needed and this instance is the one to propose it.
func (c *Controller) pollStore(ctx context.Context) {
	sent := c.config.Clock.Now()
	rows, err := c.readRow(ctx, HeadKey)
	if ctx.Err() == nil {
		c.reportStoreState(err)
	}
	if err != nil {
		return
	}
	if len(rows) == 0 {
		c.createFirstRoster(ctx, Head{}, 0)
		return
	}
	head, err := decode[Head](rows[0])
	if err != nil {
		c.emitEvent(EventUnusable, err.Error())
		return
	}
	if head.RosterGeneration == 0 {
		c.createFirstRoster(ctx, head, rows[0].Revision)
		return
	}
	if err := c.fetchNewerRows(ctx, head); err != nil {
		c.emitEvent(EventUnusable, err.Error())
	}
	c.mu.Lock()
	c.head, c.headRevision = head, rows[0].Revision
	c.validity.RecordStoreRead(sent, Versions{Generation: head.RosterGeneration, Sheet: head.SheetVersion})
	c.refresh()
	c.mu.Unlock()
	c.proposeRoster(ctx, head, rows[0].Revision)
}

// createFirstRoster writes roster generation 1 to a store without a roster, which
// may already contain a sheet. If the response is lost or another instance was
// faster, the next poll finds the roster that was written.
func (c *Controller) createFirstRoster(ctx context.Context, head Head, revision uint64) {
	c.mu.Lock()
	held := c.ledger.Versions()
	c.mu.Unlock()
	if held.Generation > 0 {
		c.emitEvent(EventUnusable, "the head row in the store is missing or names no roster, but this instance holds a roster; no first roster is written")
		return
	}
	roster := Roster{Generation: 1, Members: []Member{c.self}, Proposal: c.proposalID()}
	head.RosterGeneration = 1
	c.writeRoster(ctx, head, revision, roster)
}

// fetchNewerRows reads and adopts the roster and the sheet that the head row
// names, as far as they are newer than those that this instance holds.
func (c *Controller) fetchNewerRows(ctx context.Context, head Head) error {
	held := c.Versions()
	if head.RosterGeneration > held.Generation {
		rows, err := c.readRow(ctx, RosterKey(head.RosterGeneration))
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return &Error{Err: errors.New(RosterKey(head.RosterGeneration)), Kind: KindNotHeld, Op: "fetch the roster row named by the head row"}
		}
		roster, err := decode[Roster](rows[0])
		if err != nil {
			return err
		}
		c.adoptRoster(roster)
	}
	if head.SheetVersion > held.Sheet {
		rows, err := c.readRow(ctx, SheetKey(head.SheetVersion))
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return &Error{Err: errors.New(SheetKey(head.SheetVersion)), Kind: KindNotHeld, Op: "fetch the sheet row named by the head row"}
		}
		return c.OfferSheet(head.SheetVersion, rows[0].Value)
	}
	return nil
}

// proposalID returns a unique value for Roster.Proposal.
func (c *Controller) proposalID() string {
	return string(c.self.Instance) + "-" + strconv.FormatUint(c.config.Random(), 16)
}

// proposeRoster writes the next roster if one is needed. Only a valid instance
// whose joint phase is over may do so, so that no valid instance is more than one
// generation behind.
func (c *Controller) proposeRoster(ctx context.Context, head Head, revision uint64) {
	now := c.config.Clock.Now()
	c.mu.Lock()
	roster := c.ledger.Roster()
	ready := c.ledger.InFullPhase() && roster.Generation == head.RosterGeneration && c.validity.Valid(now)
	forceNew := c.ledger.NeedsNewGeneration() || slices.ContainsFunc(roster.Members, func(m Member) bool { return c.needsNewGeneration[m] })
	members, changed := c.membership.Proposal(now, roster, forceNew, func(m Member) bool { return c.validity.NoGrantOutstanding(now, m) })
	c.mu.Unlock()
	if !ready || !changed {
		return
	}
	nextRoster := Roster{Generation: roster.Generation + 1, Members: members, Previous: roster.Members, Proposal: c.proposalID()}
	c.writeRoster(ctx, Head{RosterGeneration: nextRoster.Generation, SheetVersion: head.SheetVersion}, revision, nextRoster)
}

// readRow reads one row with the call timeout. The result is empty if the row
// does not exist.
func (c *Controller) readRow(ctx context.Context, key string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.config.Table.Read(ctx, []string{key})
	if err != nil {
		return nil, &Error{Err: err, Kind: KindStore, Op: "read row " + key}
	}
	return rows, nil
}

// writeRoster writes a roster and the head row that names it, provided that the
// head row still has the revision. It adopts the roster if the write is known to
// have taken effect. After an error the next read of the head row shows the
// outcome.
func (c *Controller) writeRoster(ctx context.Context, head Head, revision uint64, roster Roster) {
	headValue, err := encode(head)
	if err != nil {
		return
	}
	rosterValue, err := encode(roster)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	applied, _, err := c.config.Table.Write(ctx,
		[]Condition{{Key: HeadKey, Revision: revision}},
		[]Row{{Key: HeadKey, Value: headValue}, {Key: RosterKey(roster.Generation), Value: rosterValue}})
	if err != nil || !applied {
		return
	}
	c.adoptRoster(roster)
}

// requestedGeneration returns the generation that a request asks for, where zero
// means the newest.
func requestedGeneration(requested uint64, newest fleet.RosterGeneration) fleet.RosterGeneration {
	if requested == 0 {
		return newest
	}
	return fleet.RosterGeneration(requested)
}
