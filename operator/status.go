package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Status is the state of an instance, and of the other instances as it knows them.
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
	// Valid is true if the instance has a validity lease and so may serve requests.
	Valid      bool
	Workspaces []WorkspaceStatus
}

// DrainStatus is a data centre or backend server that is out of service.
type DrainStatus struct {
	// Kind is "DataCentre" or "Server".
	Kind string
	Name string
	// Remaining is the number of connections of this instance to servers there that
	// are in use.
	Remaining int
}

// GroupStatus is a database group, as seen by this instance.
type GroupStatus struct {
	Group   fleet.GroupID
	Primary fleet.ServerID
	Servers []ServerStatus
	Term    fleet.Term
}

// InstanceStatus is another instance, as seen by this one.
type InstanceStatus struct {
	Address string
	// DataCentre is always empty, because instances do not set it.
	DataCentre       fleet.DataCentre
	Epoch            fleet.Epoch
	Instance         fleet.InstanceID
	RosterGeneration fleet.RosterGeneration
	SheetVersion     fleet.SheetVersion
	// SilenceMs is the time since the last message from the instance, in
	// milliseconds.
	SilenceMs int64
	// State is "Live", "Leaving", "Silent" or "Dead".
	State string
}

// PoolStatus is the connection pool of this instance for one backend server.
type PoolStatus struct {
	// Busy is the number of connections in use.
	Busy int
	Idle int
	// Opening is the number of connections that are being opened.
	Opening int
	// Permits is the maximum number of connections that the instance may open.
	Permits int
	// Pinned is the number of connections that are pinned to a session. Instances do
	// not set it, so it is always zero.
	Pinned int
	Server fleet.ServerID
	// Waiting is the number of requests that wait for a connection.
	Waiting int
}

// ServerStatus is a backend server, as seen by this instance.
type ServerStatus struct {
	// Applied is the position up to which the server has applied the log.
	Applied fleet.Position
	// ConnectionLimit is the maximum number of session connections that the server
	// accepts. Zero means unknown.
	ConnectionLimit int
	Connections     int
	DataCentre      fleet.DataCentre
	// Lag is the number of entries in the log of the primary that the server has not
	// applied yet.
	Lag uint64
	// Log is the position of the end of the server's log.
	Log fleet.Position
	// Role is "Primary", "Replica" or "Fenced". It is empty if the server never
	// responded.
	Role   string
	Server fleet.ServerID
	// SilenceMs is the time since the last response of the server, in milliseconds.
	// -1 means that it never responded.
	SilenceMs int64
	Term      fleet.Term
}

// WorkspaceStatus is the rate limiting of a workspace on this instance.
type WorkspaceStatus struct {
	// Admitted is the number of admitted requests.
	Admitted uint64
	// Rate is the rate limit over all instances, in requests per second.
	Rate float64
	// Refused is the number of refused requests.
	Refused uint64
	// RefusedInRate is the number of requests that were refused although the
	// workspace did not exceed its rate limit. Instances do not set it, so it is
	// always zero.
	RefusedInRate uint64
	// Share is the part of the rate limit that this instance holds, in requests per
	// second.
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
	table(&text, "DATABASE\tSERVER\tDATA CENTRE\tROLE\tTERM\tLOG\tAPPLIED\tLAG\tCONNECTIONS\tSILENCE", serverRows(s.Groups), renderServerRow)
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

// MarshalJSON encodes the status as JSON with empty lists as [] and not as null.
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

// serverRow is a row of the table of backend servers.
type serverRow struct {
	group  fleet.GroupID
	server ServerStatus
}

// serverRows returns the rows for the servers of all groups.
func serverRows(groups []GroupStatus) []serverRow {
	var rows []serverRow
	for _, group := range groups {
		for _, server := range group.Servers {
			rows = append(rows, serverRow{group: group.Group, server: server})
		}
	}
	return rows
}

func renderServerRow(row serverRow) string {
	s := row.server
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d/%d\t%d ms", row.group, s.Server, s.DataCentre, s.Role, s.Term, s.Log, s.Applied, s.Lag, s.Connections, s.ConnectionLimit, s.SilenceMs)
}

// table writes a table with a heading. It writes nothing if there are no rows.
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
