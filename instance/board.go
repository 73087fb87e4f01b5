package instance

import (
	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Lifecycle is the state of an instance.
type Lifecycle string

// States of an instance, in order.
const (
	// LifecycleStarting is before the first sheet is in force.
	LifecycleStarting Lifecycle = "Starting"
	// LifecycleServing takes new work while the validity lease holds.
	LifecycleServing Lifecycle = "Serving"
	// LifecycleDraining finishes what runs and takes no new work.
	LifecycleDraining Lifecycle = "Draining"
	// LifecycleStopped is the end.
	LifecycleStopped Lifecycle = "Stopped"
)

// SheetInForce is the sheet that the instance acts on.
type SheetInForce struct {
	Content string
	// Index answers the look-ups that each request makes.
	Index *sheet.Index
	// Placement says where work may go, as seen from this instance.
	Placement group.Placement
	Sheet     sheet.Sheet
	// Version is zero before the first sheet is known.
	Version fleet.SheetVersion
}

// GroupSection is the section of one group.
type GroupSection struct {
	Group   fleet.GroupID
	Section *blackboard.Section[group.View]
}

// Board is the blackboard of an instance. Each section has one writer.
type Board struct {
	// Groups is written by the controller of each group.
	Groups []GroupSection
	// Lifecycle is written by the instance.
	Lifecycle *blackboard.Section[Lifecycle]
	// Sheet is written by the sheet controller.
	Sheet *blackboard.Section[SheetInForce]
}

// newBoard returns a board for groups of which nothing is known yet.
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
