package instance

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

var _ operator.StatusSource = &Instance{}

// Status returns the state of this instance and its view of the other instances.
func (i *Instance) Status() operator.Status {
	now := i.config.Now()
	inForce := i.board.Sheet.Load()
	status := operator.Status{
		DataCentre: i.config.Settings.DataCentre,
		Drains:     i.drainStatus(inForce.Sheet),
		Epoch:      i.config.Epoch,
		Instance:   i.config.Settings.Instance,
		Instances:  i.instanceStatus(now),
		Lifecycle:  string(i.board.Lifecycle.Load()),
		Pools:      i.allPoolStatus(),

		RosterGeneration: i.peers.Versions().Generation,

		SheetVersion: inForce.Version,
		Valid:        i.limiter.Valid(now),
		Workspaces:   i.workspaceStatus(inForce.Sheet),
	}
	for _, section := range i.board.Groups {
		status.Groups = append(status.Groups, groupStatus(now, section.Section.Load()))
	}
	return status
}

// allPoolStatus returns the state of the connection pools of all backend servers.
func (i *Instance) allPoolStatus() []operator.PoolStatus {
	var pools []operator.PoolStatus
	for _, controller := range i.groups {
		pools = append(pools, i.poolStatus(controller.settings)...)
	}
	return pools
}

// instanceStatus returns the last known state of the other instances.
func (i *Instance) instanceStatus(now time.Time) []operator.InstanceStatus {
	var instances []operator.InstanceStatus
	for _, peerStatus := range i.peers.Peers(now) {
		instances = append(instances, operator.InstanceStatus{
			Address:          peerStatus.Address,
			Epoch:            peerStatus.Member.Epoch,
			Instance:         peerStatus.Member.Instance,
			RosterGeneration: peerStatus.Held.Generation,
			SheetVersion:     peerStatus.Held.Sheet,
			SilenceMs:        peerStatus.Silence.Milliseconds(),
			State:            string(peerStatus.State),
		})
	}
	return instances
}

// poolStatus returns the state of the connection pools of a group's servers.
func (i *Instance) poolStatus(configured settings.Group) []operator.PoolStatus {
	var pools []operator.PoolStatus
	for _, server := range configured.Servers {
		counts := i.pool.Counts(server.Server)
		pools = append(pools, operator.PoolStatus{
			Busy:    counts.InUse,
			Idle:    counts.Idle,
			Opening: counts.Opening,
			Permits: i.limiter.Permits(server.Server),
			Server:  server.Server,
			Waiting: counts.Waiting,
		})
	}
	return pools
}

// workspaceStatus returns the request counts and rate shares of all workspaces.
func (i *Instance) workspaceStatus(inForce sheet.Sheet) []operator.WorkspaceStatus {
	var workspaces []operator.WorkspaceStatus
	for _, workspace := range inForce.Workspaces {
		requestCounts := i.metrics.workspace(workspace.Workspace)
		workspaces = append(workspaces, operator.WorkspaceStatus{
			Admitted:  uint64(requestCounts.admitted.Value()),
			Rate:      workspace.Rate,
			Refused:   uint64(requestCounts.refused.Value()),
			Share:     i.limiter.Share(workspace.Workspace).Rate,
			Workspace: workspace.Workspace,
		})
	}
	return workspaces
}

// drainStatus returns the data centres and backend servers that the sheet takes
// out of service, with the connections to them that are still in use.
func (i *Instance) drainStatus(inForce sheet.Sheet) []operator.DrainStatus {
	var drains []operator.DrainStatus
	for _, dataCentre := range inForce.DataCentres {
		if dataCentre.State == sheet.StateOut {
			drains = append(drains, operator.DrainStatus{
				Kind:      "DataCentre",
				Name:      string(dataCentre.DataCentre),
				Remaining: i.connectionsInUse(func(s settings.Server) bool { return s.DataCentre == dataCentre.DataCentre }),
			})
		}
	}
	for _, server := range inForce.Servers {
		if server.State == sheet.StateLeaving {
			drains = append(drains, operator.DrainStatus{
				Kind:      "Server",
				Name:      string(server.Server),
				Remaining: i.connectionsInUse(func(s settings.Server) bool { return s.Server == server.Server }),
			})
		}
	}
	return drains
}

// connectionsInUse returns the number of connections in use to the backend
// servers that match.
func (i *Instance) connectionsInUse(match func(settings.Server) bool) int {
	inUse := 0
	for _, configured := range i.config.Settings.Groups {
		for _, server := range configured.Servers {
			if match(server) {
				inUse += i.pool.Counts(server.Server).InUse
			}
		}
	}
	return inUse
}

// groupStatus returns the state of a group's servers. A server's lag is the
// distance between the primary's end of log and the position that it has applied;
// its silence is -1 if it has never answered.
func groupStatus(now time.Time, view group.View) operator.GroupStatus {
	status := operator.GroupStatus{Group: view.Group, Primary: view.Primary, Term: view.Term}
	primary, _ := view.Server(view.Primary)
	endOfLog := primary.Status.Log.Log
	for _, server := range view.Servers {
		reported := server.Status
		lag := uint64(0)
		if endOfLog > reported.Applied.Log {
			lag = uint64(endOfLog - reported.Applied.Log)
		}
		silence := int64(-1)
		if !server.RespondedAt.IsZero() {
			silence = now.Sub(server.RespondedAt).Milliseconds()
		}
		status.Servers = append(status.Servers, operator.ServerStatus{
			Applied:         reported.Applied,
			ConnectionLimit: reported.ConnectionLimit,
			Connections:     reported.Connections,
			DataCentre:      server.DataCentre,
			Lag:             lag,
			Log:             reported.Log,
			Role:            string(reported.Role),
			Server:          server.Server,
			SilenceMs:       silence,
			Term:            reported.Term,
		})
	}
	slices.SortFunc(status.Servers, func(a, b operator.ServerStatus) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return status
}
