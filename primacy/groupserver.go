package primacy

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// missingServerTimeout is how long a change of primary waits for servers that may hold
// acknowledged commits. Servers that crashed are back within 7 s. A change of primary
// has to be over within 20 s.
const missingServerTimeout = 15 * time.Second

// GroupServer is a server of a group that may hold acknowledged commits. It stays in the
// record while its registration is missing, until other servers are known to hold the
// same commits.
type GroupServer struct {
	Address string
	// Born is the start time in Unix milliseconds. It distinguishes restarts.
	Born int64
	// GoneAt is zero while the server is registered. Otherwise it is the end of the
	// primary's log at a time when the server was gone, so that it has received no commit
	// after it.
	GoneAt fleet.Position `json:",omitzero"`
	ID     fleet.ServerID
}

// groupServer returns the entry of a registered server.
func (s Server) groupServer() GroupServer {
	return GroupServer{Address: s.Address, Born: s.Born, ID: s.ID}
}

// decideServers keeps the record's servers up to date. A server is added when it first
// answers, and removed when its commits are known to be on others.
func (s Situation) decideServers(now time.Time) Step {
	if s.SyncReplicas == 0 || s.recordsRegisteredServers() {
		return Step{Kind: StepNone}
	}
	primary, known := s.server(s.Record.Primary)
	if !known || !primary.answeredRecently(now) || primary.Role != RolePrimary || primary.Term != s.Record.Term {
		return Step{Kind: StepStatus}
	}
	next := s.Record
	next.Servers = s.currentServers(now, primary.Position)
	if next.Equal(s.Record) {
		return Step{Kind: StepStatus}
	}
	return Step{Kind: StepWrite, Record: next}
}

// recordsRegisteredServers reports whether the record's servers are those that are
// registered.
func (s Situation) recordsRegisteredServers() bool {
	var registered []GroupServer
	for _, server := range s.Servers {
		if server.Registered {
			registered = append(registered, server.groupServer())
		}
	}
	sortServers(registered)
	return slices.Equal(registered, s.Record.Servers)
}

// currentServers returns the servers that may hold acknowledged commits, given the end of
// the primary's log.
func (s Situation) currentServers(now time.Time, logEnd fleet.Position) []GroupServer {
	var servers []GroupServer
	for _, recorded := range s.Record.Servers {
		server, known := s.server(recorded.ID)
		registered := known && server.Registered
		switch {
		case registered && server.Born != recorded.Born && (server.Position.Log == 0 || !server.answeredRecently(now)):
			// It has not shown since it started again that it has its log.
			recorded.GoneAt = fleet.Position{}
			servers = append(servers, recorded)
		case registered:
			servers = append(servers, server.groupServer())
		case recorded.ID == s.Record.Primary || !(server.Gone || s.hasSuccessor(recorded)):
			servers = append(servers, recorded)
		case recorded.GoneAt.IsZero():
			recorded.GoneAt = logEnd
			servers = append(servers, recorded)
		case s.replicasWith(now, recorded.GoneAt) < s.SyncReplicas:
			servers = append(servers, recorded)
		}
	}
	for _, server := range s.unrecordedServers() {
		servers = append(servers, server.groupServer())
	}
	sortServers(servers)
	return servers
}

// replicasWith returns the number of registered replicas whose logs recently reached a
// position.
func (s Situation) replicasWith(now time.Time, position fleet.Position) int {
	replicas := 0
	for _, server := range s.Servers {
		if server.Registered && server.ID != s.Record.Primary && server.answeredRecently(now) && server.Position.Compare(position) >= 0 {
			replicas++
		}
	}
	return replicas
}

// unrecordedServers returns the registered servers that have answered and that the record
// lacks. An entry whose server has never answered names no server of the group.
func (s Situation) unrecordedServers() []Server {
	var servers []Server
	for _, server := range s.Servers {
		isRecorded := slices.ContainsFunc(s.Record.Servers, func(recorded GroupServer) bool { return recorded.ID == server.ID })
		if server.Registered && !isRecorded && !server.StatusAt.IsZero() {
			servers = append(servers, server)
		}
	}
	return servers
}

// hasAllCommits reports whether the log of a server that answered since the change
// certainly has all acknowledged commits. Without synchronous replicas no server is known
// to, and all are accepted.
func (s Situation) hasAllCommits(target Server) bool {
	return s.SyncReplicas == 0 || s.leadsLatestTerm(target) || s.hasPrimaryLog(target) || s.hasAllReplicatedCommits(target)
}

// hasPrimaryLog reports whether a server has all of the recorded primary's log: it is the
// primary, also if that has returned under another ID, or its log is as long as that of
// the primary, which no instance uses any more.
func (s Situation) hasPrimaryLog(target Server) bool {
	if target.ID == s.Record.Primary {
		return true
	}
	isSuccessor := slices.ContainsFunc(s.Record.Servers, func(recorded GroupServer) bool {
		return recorded.ID == s.Record.Primary && target.succeeds(recorded)
	})
	if isSuccessor && target.Term == s.Record.Term {
		return true
	}
	primary, known := s.server(s.Record.Primary)
	return known && s.hasReturned(primary) && target.Position.Compare(primary.Position) >= 0
}

// hasReturned reports whether the recorded primary has answered since the change began
// with the log of its term.
func (s Situation) hasReturned(primary Server) bool {
	lostLog := slices.ContainsFunc(s.Record.Servers, func(recorded GroupServer) bool {
		return recorded.ID == primary.ID && recorded.lostLog(primary)
	})
	return primary.StatusAt.After(s.GenerationSeenAt) && primary.Term == s.Record.Term && !lostLog
}

// hasAllReplicatedCommits reports whether fewer replicas are missing than must hold a
// commit before it is acknowledged, so that one of those that have answered holds the
// last one. The target has the longest log of these. A group whose servers were never
// recorded has no known replicas.
func (s Situation) hasAllReplicatedCommits(target Server) bool {
	replicas, missing := s.missingReplicas(target)
	return replicas >= s.SyncReplicas && len(missing) < s.SyncReplicas
}

// missingReplicas returns the number of replicas that may hold acknowledged commits, and
// those of them that may hold commits which the target lacks.
func (s Situation) missingReplicas(target Server) (replicas int, missing []fleet.ServerID) {
	if len(s.Record.Servers) == 0 {
		return 0, nil
	}
	for _, recorded := range s.Record.Servers {
		if recorded.ID == s.Record.Primary {
			continue
		}
		replicas++
		if !s.isAccountedFor(recorded, target) {
			missing = append(missing, recorded.ID)
		}
	}
	for _, server := range s.unrecordedServers() {
		isSuccessor := slices.ContainsFunc(s.Record.Servers, server.succeeds)
		if server.ID == s.Record.Primary || isSuccessor {
			continue
		}
		replicas++
		if !server.StatusAt.After(s.GenerationSeenAt) {
			missing = append(missing, server.ID)
		}
	}
	return replicas, missing
}

// isAccountedFor reports whether a recorded replica, or its successor, has answered since
// the change with its log, or whether the target has all that the replica received before
// it was gone. A replica that is not registered can't be promoted, so the target must have
// all of its log.
func (s Situation) isAccountedFor(recorded GroupServer, target Server) bool {
	registered := false
	for _, server := range s.Servers {
		isReplica := server.ID == recorded.ID
		registered = registered || (isReplica && server.Registered)
		hasLog := server.Registered && !recorded.lostLog(server)
		isCovered := server.Position.Log > 0 && target.Position.Compare(server.Position) >= 0
		if server.StatusAt.After(s.GenerationSeenAt) && (server.succeeds(recorded) || (isReplica && (hasLog || isCovered))) {
			return true
		}
	}
	return !registered && !recorded.GoneAt.IsZero() && target.Position.Compare(recorded.GoneAt) >= 0
}

// hasSuccessor reports whether a server has taken over a recorded server's log.
func (s Situation) hasSuccessor(recorded GroupServer) bool {
	return slices.ContainsFunc(s.Servers, func(server Server) bool { return server.succeeds(recorded) })
}

// succeeds reports whether the server has taken over a recorded server's log: it has
// another ID and the same address, and a log.
func (s Server) succeeds(recorded GroupServer) bool {
	return s.Registered && s.ID != recorded.ID && s.Address == recorded.Address && s.Address != "" && s.Position.Log > 0
}

// lostLog reports whether a server has lost its log: it has started again since it was
// recorded, and its log is empty.
func (r GroupServer) lostLog(server Server) bool {
	return server.Born != r.Born && server.Position.Log == 0
}

// answeredRecently reports whether the server has answered within statusTimeout.
func (s Server) answeredRecently(now time.Time) bool {
	return !s.StatusAt.Before(now.Add(-statusTimeout))
}

func sortServers(servers []GroupServer) {
	slices.SortFunc(servers, func(a, b GroupServer) int { return cmp.Compare(a.ID, b.ID) })
}
