// Package event records numbered events: in the log, and in a ring buffer
// from which the timeline over all instances is made.
package event

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Fields are the optional fields of an event. There is no field for keys.
type Fields struct {
	Database  fleet.GroupID     `json:",omitempty"`
	Position  fleet.Position    `json:",omitzero"`
	Request   string            `json:",omitempty"`
	Server    fleet.ServerID    `json:",omitempty"`
	Session   string            `json:",omitempty"`
	Term      fleet.Term        `json:",omitempty"`
	Text      string            `json:",omitempty"`
	Workspace fleet.WorkspaceID `json:",omitempty"`
}

// Event is one recorded event.
type Event struct {
	Fields
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
	Level    Level
	Name     Name
	Number   Number
	// Stamp orders events of all instances so that causes come before effects.
	Stamp Stamp
	// Time is the wall time of the instance.
	Time time.Time
}
