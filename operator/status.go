package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Status is the state of an instance and what it knows of the others.
type Status struct {
	DataCentre fleet.DataCentre
	Drains     []DrainStatus
	Epoch      fleet.Epoch
	Groups     []GroupStatus
	Instance   fleet.InstanceID
	Instances  []InstanceStatus
	// Lifecycle is "Starting", "Serving", "Draining" or "Stopped".
	Lifecycle        string
	Pools            []PoolStatus
	RosterGeneration fleet.RosterGeneration
	SheetVersion     fleet.SheetVersion
	// Valid is true when the instance may serve.
	Valid      bool
	Workspaces []WorkspaceStatus
}

// DrainStatus is a data centre or backend server that is out of service.
type DrainStatus struct {
	// Kind is "DataCentre" or "Server".
	Kind string
	Name string
	// Remaining is the work in progress there, as far as the instance knows.
	Remaining int
}

// GroupStatus is a database group.
type GroupStatus struct {
	Group   fleet.GroupID
	Primary fleet.ServerID
	Servers []ServerStatus
	Term    fleet.Term
}

// InstanceStatus is another instance, as seen by this one.
type InstanceStatus struct {
	Address          string
	DataCentre       fleet.DataCentre
	Epoch            fleet.Epoch
	Instance         fleet.InstanceID
	RosterGeneration fleet.RosterGeneration
	SheetVersion     fleet.SheetVersion
	// SilenceMs is the time since the instance was last heard, in milliseconds.
	SilenceMs int64
	// State is "Live", "Leaving" or "Suspected".
	State string
}

// PoolStatus is the pool of one backend server on this instance.
type PoolStatus struct {
	Busy    int
	Idle    int
	Opening int
	// Permits is the number of connections that the instance may hold.
	Permits int
	Pinned  int
	Server  fleet.ServerID
	Waiting int
}

// ServerStatus is a backend server, as seen by this instance.
type ServerStatus struct {
	Applied         fleet.Position
	ConnectionLimit int
	Connections     int
	DataCentre      fleet.DataCentre
	// Lag is the number of log entries that the server has not applied.
	Lag    uint64
	Log    fleet.Position
	Role   string
	Server fleet.ServerID
	// SilenceMs is the time since the server last answered, in milliseconds.
	SilenceMs int64
	Term      fleet.Term
}

// WorkspaceStatus is a workspace on this instance.
type WorkspaceStatus struct {
	Admitted uint64
	// Rate is the workspace's rate over all instances, in requests a second.
	Rate    float64
	Refused uint64
	// RefusedInRate counts the refusals while the workspace was inside its rate.
	RefusedInRate uint64
	// Share is the part of the rate that this instance holds, in requests a second.
	Share     float64
	Workspace fleet.WorkspaceID
}

// Render writes the status as tables for a terminal.
func (s Status) Render(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Instance %s, data centre %s, %s, valid %t, sheet %d, roster %d\n", s.Instance, s.DataCentre, s.Lifecycle, s.Valid, s.SheetVersion, s.RosterGeneration)
	table(&text, "INSTANCE\tDATA CENTRE\tSTATE\tSHEET\tROSTER\tSILENCE\tADDRESS", s.Instances, func(i InstanceStatus) string {
		return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d ms\t%s", i.Instance, i.DataCentre, i.State, i.SheetVersion, i.RosterGeneration, i.SilenceMs, i.Address)
	})
	table(&text, "DATABASE\tSERVER\tDATA CENTRE\tROLE\tTERM\tLOG\tAPPLIED\tLAG\tCONNECTIONS\tSILENCE", groupRows(s.Groups), renderServer)
	table(&text, "POOL\tBUSY\tIDLE\tOPENING\tPINNED\tPERMITS\tWAITING", s.Pools, func(p PoolStatus) string {
		return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d", p.Server, p.Busy, p.Idle, p.Opening, p.Pinned, p.Permits, p.Waiting)
	})
	table(&text, "WORKSPACE\tRATE\tSHARE\tADMITTED\tREFUSED\tREFUSED IN RATE", s.Workspaces, func(w WorkspaceStatus) string {
		return fmt.Sprintf("%s\t%.1f/s\t%.1f/s\t%d\t%d\t%d", w.Workspace, w.Rate, w.Share, w.Admitted, w.Refused, w.RefusedInRate)
	})
	table(&text, "OUT OF SERVICE\tNAME\tREMAINING", s.Drains, func(d DrainStatus) string {
		return fmt.Sprintf("%s\t%s\t%d", d.Kind, d.Name, d.Remaining)
	})
	_, err := io.WriteString(out, text.String())
	return err
}

// MarshalJSON returns the JSON form, in which lists without entries are [].
func (s Status) MarshalJSON() ([]byte, error) {
	type plain Status
	p := plain(s)
	p.Drains = append([]DrainStatus{}, s.Drains...)
	p.Groups = append([]GroupStatus{}, s.Groups...)
	p.Instances = append([]InstanceStatus{}, s.Instances...)
	p.Pools = append([]PoolStatus{}, s.Pools...)
	p.Workspaces = append([]WorkspaceStatus{}, s.Workspaces...)
	return json.Marshal(p)
}

type groupRow struct {
	group  fleet.GroupID
	server ServerStatus
}

func groupRows(groups []GroupStatus) []groupRow {
	var rows []groupRow
	for _, group := range groups {
		for _, server := range group.Servers {
			rows = append(rows, groupRow{group: group.Group, server: server})
		}
	}
	return rows
}

func renderServer(row groupRow) string {
	s := row.server
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d/%d\t%d ms", row.group, s.Server, s.DataCentre, s.Role, s.Term, s.Log, s.Applied, s.Lag, s.Connections, s.ConnectionLimit, s.SilenceMs)
}

// table writes a table with its heading, or nothing when it has no rows.
func table[T any](out io.Writer, heading string, rows []T, render func(T) string) {
	if len(rows) == 0 {
		return
	}
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintf(w, "\n%s\n", heading)
	for _, row := range rows {
		fmt.Fprintln(w, render(row))
	}
	w.Flush()
}
