package group_test

import (
	"errors"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

var errNotPromised = errors.New("term is not promised to the holder")

// modelServer models a backend server. Its log holds only the term of each entry.
type modelServer struct {
	lastContact time.Time
	holder      fleet.InstanceID
	id          fleet.ServerID
	log         []fleet.Term
	promised    fleet.Term
	role        group.Role
	term        fleet.Term
}

// newModelGroup returns servers of which the first is the primary of term 1 and
// the others follow it.
func newModelGroup(n int) []*modelServer {
	var servers []*modelServer
	for i := range n {
		servers = append(servers, &modelServer{
			id: fleet.ServerID(rune('a' + i)), log: []fleet.Term{1}, promised: 1, role: group.RoleReplica, term: 1,
		})
	}
	servers[0].role = group.RolePrimary
	return servers
}

// modelView returns the view of an instance before any server has responded.
func modelView(servers []*modelServer) group.View {
	var members []group.Member
	for _, s := range servers {
		members = append(members, group.Member{Server: s.id})
	}
	return group.NewView("g", members)
}

// observation returns a response of the server.
func (s *modelServer) observation(requestedAt, respondedAt time.Time) group.Observation {
	return group.Observation{RespondedAt: respondedAt, RequestedAt: requestedAt, Server: s.id, Status: s.status(respondedAt)}
}

// write appends an entry if the server is a primary.
func (s *modelServer) write() (fleet.Position, bool) {
	if s.role != group.RolePrimary {
		return fleet.Position{}, false
	}
	s.log = append(s.log[:len(s.log):len(s.log)], s.term)
	return s.position(len(s.log)), true
}

// position returns the position of the entry with the given number.
func (s *modelServer) position(n int) fleet.Position {
	if n == 0 {
		return fleet.Position{}
	}
	return fleet.Position{Log: fleet.LogPosition(n), Term: s.log[n-1]}
}

func (s *modelServer) contains(p fleet.Position) bool {
	return int(p.Log) <= len(s.log) && s.log[p.Log-1] == p.Term
}

func (s *modelServer) fence(term fleet.Term, holder fleet.InstanceID) bool {
	if term < s.promised || (term == s.promised && holder != s.holder) {
		return false
	}
	s.promised, s.holder = term, holder
	if s.role == group.RolePrimary && s.term < term {
		s.role = group.RoleFenced
	}
	return true
}

func (s *modelServer) promote(term fleet.Term, holder fleet.InstanceID) error {
	if s.promised != term || s.holder != holder {
		return errNotPromised
	}
	if s.role != group.RolePrimary || s.term != term {
		s.role, s.term = group.RolePrimary, term
		s.log = append(slices.Clip(s.log), term)
	}
	return nil
}

// replicate sends the log of a primary, up to the entry number end, to a replica.
// A fenced primary continues to send the entries that it has.
func (s *modelServer) replicate(to *modelServer, end int) {
	if s.role == group.RoleReplica || to.promised > s.term || to.term > s.term || (to.term == s.term && to.role != group.RoleReplica) {
		return
	}
	if to.promised < s.term || to.term < s.term {
		to.promised, to.holder, to.term, to.role = s.term, s.holder, s.term, group.RoleReplica
	}
	common := 0
	for common < min(len(s.log), len(to.log)) && s.log[common] == to.log[common] {
		common++
	}
	if common >= end {
		return
	}
	to.log = slices.Clone(s.log[:end])
}

func (s *modelServer) status(now time.Time) group.ServerStatus {
	status := group.ServerStatus{
		Log: s.position(len(s.log)), PromisedTerm: s.promised, PromisedTo: s.holder,
		Role: s.role, Server: s.id, Term: s.term,
	}
	status.Applied = status.Log
	if s.role == group.RoleReplica {
		status.PrimaryContact = now.Sub(s.lastContact)
	}
	for i, term := range s.log {
		if i == 0 || s.log[i-1] != term {
			status.History = append(status.History, fleet.TermStart{First: fleet.LogPosition(i + 1), Term: term})
		}
	}
	return status
}
