package instance

import (
	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Lifecycle is the state of an instance between its start and its stop.
type Lifecycle string

// States of an instance, in order.
const (
	// LifecycleStarting is the state until Run has started all controllers and
	// servers.
	LifecycleStarting Lifecycle = "Starting"
	// LifecycleServing is the state in which new requests are admitted while the
	// validity lease holds.
	LifecycleServing Lifecycle = "Serving"
	// LifecycleDraining is the state of a planned stop: running transactions finish
	// and new connections are refused.
	LifecycleDraining Lifecycle = "Draining"
	// LifecycleStopped is the state after all controllers and servers have stopped.
	LifecycleStopped Lifecycle = "Stopped"
)

// SheetInForce is the sheet, the operators' published configuration, that the
// instance applies.
type SheetInForce struct {
	Content string
	// Index serves the lookups that are made for every request.
	Index *sheet.Index
	// Placement says which data centres and backend servers may get requests from
	// this instance.
	Placement group.Placement
	Sheet     sheet.Sheet
	// Version is zero before the first sheet is known.
	Version fleet.SheetVersion
}

// GroupSection is the blackboard section with the view of one group.
type GroupSection struct {
	Group   fleet.GroupID
	Section *blackboard.Section[group.View]
}

// Board is the blackboard of an instance. Each section has one writer.
type Board struct {
	// Groups holds one section for each group, written by the group's controller.
	Groups []GroupSection
	// Lifecycle is written by the instance.
	Lifecycle *blackboard.Section[Lifecycle]
	// Sheet is written by the instance when it applies a newer sheet.
	Sheet *blackboard.Section[SheetInForce]
}

// newBoard returns the board of an instance that knows nothing of its groups yet.
func newBoard(groups []fleet.GroupID) *Board {
	board := &Board{
		Lifecycle: blackboard.New(LifecycleStarting),
		Sheet:     blackboard.New(SheetInForce{Index: sheet.NewIndex(sheet.Sheet{})}),
	}
	for _, id := range groups {
		section := blackboard.New(group.View{Group: id})
		board.Groups = append(board.Groups, GroupSection{Group: id, Section: section})
	}
	return board
}
