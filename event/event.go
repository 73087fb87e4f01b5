// Package event records numbered events. Each event is logged and stored in a ring
// buffer. The buffers of all instances are merged into a timeline.
package event

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Fields holds the optional fields of an event. Record redacts callers' keys in them.
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
	// Stamp orders the events of all instances so that causes come before effects.
	Stamp Stamp
	// Time is the wall-clock time of the instance.
	Time time.Time
}
