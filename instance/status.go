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

// Status returns the state of the instance and what it knows of the others.
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
		Pools:      i.allPools(),

		RosterGeneration: i.peers.Versions().Generation,

		SheetVersion: inForce.Version,
		Valid:        i.limits.Valid(now),
		Workspaces:   i.workspaceStatus(inForce.Sheet),
	}
	for _, section := range i.board.Groups {
		status.Groups = append(status.Groups, groupStatus(now, section.Section.Load()))
	}
	return status
}

// allPools returns the state of the pools of all servers.
func (i *Instance) allPools() []operator.PoolStatus {
	var pools []operator.PoolStatus
	for _, controller := range i.groups {
		pools = append(pools, i.poolStatus(controller.settings)...)
	}
	return pools
}

// instanceStatus returns what is known of the other instances.
func (i *Instance) instanceStatus(now time.Time) []operator.InstanceStatus {
	var instances []operator.InstanceStatus
	for _, known := range i.peers.Peers(now) {
		instances = append(instances, operator.InstanceStatus{
			Address:          known.Address,
			Epoch:            known.Member.Epoch,
			Instance:         known.Member.Instance,
			RosterGeneration: known.Held.Generation,
			SheetVersion:     known.Held.Sheet,
			SilenceMs:        known.Silence.Milliseconds(),
			State:            string(known.State),
		})
	}
	return instances
}

func (i *Instance) poolStatus(configured settings.Group) []operator.PoolStatus {
	var pools []operator.PoolStatus
	for _, server := range configured.Servers {
		counts := i.pool.Counts(server.Server)
		pools = append(pools, operator.PoolStatus{
			Busy:    counts.InUse,
			Idle:    counts.Idle,
			Opening: counts.Opening,
			Permits: i.limits.Permits(server.Server),
			Server:  server.Server,
			Waiting: counts.Waiting,
		})
	}
	return pools
}

func (i *Instance) workspaceStatus(inForce sheet.Sheet) []operator.WorkspaceStatus {
	var workspaces []operator.WorkspaceStatus
	for _, workspace := range inForce.Workspaces {
		counts := i.metrics.workspace(workspace.Workspace)
		workspaces = append(workspaces, operator.WorkspaceStatus{
			Admitted:  uint64(counts.admitted.Value()),
			Rate:      workspace.Rate,
			Refused:   uint64(counts.refused.Value()),
			Share:     i.limits.Share(workspace.Workspace).Rate,
			Workspace: workspace.Workspace,
		})
	}
	return workspaces
}

func (i *Instance) drainStatus(inForce sheet.Sheet) []operator.DrainStatus {
	var drains []operator.DrainStatus
	for _, dataCentre := range inForce.DataCentres {
		if dataCentre.State == sheet.StateOut {
			drains = append(drains, operator.DrainStatus{
				Kind:      "DataCentre",
				Name:      string(dataCentre.DataCentre),
				Remaining: i.busyWhere(func(s settings.Server) bool { return s.DataCentre == dataCentre.DataCentre }),
			})
		}
	}
	for _, server := range inForce.Servers {
		if server.State == sheet.StateLeaving {
			drains = append(drains, operator.DrainStatus{
				Kind:      "Server",
				Name:      string(server.Server),
				Remaining: i.busyWhere(func(s settings.Server) bool { return s.Server == server.Server }),
			})
		}
	}
	return drains
}

// busyWhere counts the connections in use to the servers that match.
func (i *Instance) busyWhere(match func(settings.Server) bool) int {
	busy := 0
	for _, configured := range i.config.Settings.Groups {
		for _, server := range configured.Servers {
			if match(server) {
				busy += i.pool.Counts(server.Server).InUse
			}
		}
	}
	return busy
}

func groupStatus(now time.Time, view group.View) operator.GroupStatus {
	status := operator.GroupStatus{Group: view.Group, Primary: view.Primary, Term: view.Term}
	primary, _ := view.Server(view.Primary)
	end := primary.Status.Log.Log
	for _, server := range view.Servers {
		reported := server.Status
		lag := uint64(0)
		if end > reported.Applied.Log {
			lag = uint64(end - reported.Applied.Log)
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
