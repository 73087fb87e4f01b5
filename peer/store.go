package peer

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// pollList reads the platform's list. An outage leaves the last list in force.
func (c *Controller) pollList(ctx context.Context) {
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

// pollStore reads the head row, fetches what it names, and proposes the next
// roster if that is this instance's turn.
func (c *Controller) pollStore(ctx context.Context) {
	sent := c.config.Clock.Now()
	rows, err := c.read(ctx, HeadKey)
	if ctx.Err() == nil {
		c.noteStore(err)
	}
	if err != nil {
		return
	}
	if len(rows) == 0 {
		c.createFirst(ctx, Head{}, 0)
		return
	}
	head, err := decode[Head](rows[0])
	if err != nil {
		c.event(EventUnusable, err.Error())
		return
	}
	if head.RosterGeneration == 0 {
		c.createFirst(ctx, head, rows[0].Revision)
		return
	}
	if err := c.fetchRows(ctx, head); err != nil {
		c.event(EventUnusable, err.Error())
	}
	c.mu.Lock()
	c.head, c.headRevision = head, rows[0].Revision
	c.validity.RecordStoreRead(sent, Versions{Generation: head.RosterGeneration, Sheet: head.SheetVersion})
	c.refresh()
	c.mu.Unlock()
	c.propose(ctx, head, rows[0].Revision)
}

// createFirst writes generation 1 into a table without a roster. A sheet can be
// there already. A lost answer or a lost race shows in the next read.
func (c *Controller) createFirst(ctx context.Context, head Head, revision uint64) {
	c.mu.Lock()
	held := c.ledger.Versions()
	c.mu.Unlock()
	if held.Generation > 0 {
		c.event(EventUnusable, "the head row is missing from the table although a roster is held")
		return
	}
	roster := Roster{Generation: 1, Members: []Member{c.self}, Proposal: c.proposalID()}
	head.RosterGeneration = 1
	c.writeRoster(ctx, head, revision, roster)
}

// fetchRows reads the rows that the head names and that are not held.
func (c *Controller) fetchRows(ctx context.Context, head Head) error {
	held := c.Versions()
	if head.RosterGeneration > held.Generation {
		rows, err := c.read(ctx, RosterKey(head.RosterGeneration))
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return &Error{Err: errors.New(RosterKey(head.RosterGeneration)), Kind: KindNotHeld, Op: "fetch roster"}
		}
		roster, err := decode[Roster](rows[0])
		if err != nil {
			return err
		}
		c.adoptRoster(roster)
	}
	if head.SheetVersion > held.Sheet {
		rows, err := c.read(ctx, SheetKey(head.SheetVersion))
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return &Error{Err: errors.New(SheetKey(head.SheetVersion)), Kind: KindNotHeld, Op: "fetch sheet"}
		}
		return c.OfferSheet(head.SheetVersion, rows[0].Value)
	}
	return nil
}

func (c *Controller) proposalID() string {
	return string(c.self.Instance) + "-" + strconv.FormatUint(c.config.Random(), 16)
}

// propose writes the next roster. Only an instance whose joint phase is over
// may propose, so that no valid instance is more than one generation behind.
func (c *Controller) propose(ctx context.Context, head Head, revision uint64) {
	now := c.config.Clock.Now()
	c.mu.Lock()
	roster := c.ledger.Roster()
	ready := c.ledger.InFullPhase() && roster.Generation == head.RosterGeneration && c.validity.Valid(now)
	reset := c.ledger.NeedsNewGeneration() || slices.ContainsFunc(roster.Members, func(m Member) bool { return c.resets[m] })
	next, wanted := c.membership.Proposal(now, roster, reset, func(m Member) bool { return c.validity.NoGrantOutstanding(now, m) })
	c.mu.Unlock()
	if !ready || !wanted {
		return
	}
	following := Roster{Generation: roster.Generation + 1, Members: next, Previous: roster.Members, Proposal: c.proposalID()}
	c.writeRoster(ctx, Head{RosterGeneration: following.Generation, SheetVersion: head.SheetVersion}, revision, following)
}

// read reads one row with the time limit of a call.
func (c *Controller) read(ctx context.Context, key string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.config.Table.Read(ctx, []string{key})
	if err != nil {
		return nil, &Error{Err: err, Kind: KindStore, Op: "read " + key}
	}
	return rows, nil
}

// writeRoster writes a roster and the head row that names it, if the head row
// still has the revision. It adopts the roster only after a certain answer;
// after a lost one the next read of the head row tells.
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

// generationOf returns the generation to fetch; zero stands for the newest.
func generationOf(asked uint64, newest fleet.RosterGeneration) fleet.RosterGeneration {
	if asked == 0 {
		return newest
	}
	return fleet.RosterGeneration(asked)
}
