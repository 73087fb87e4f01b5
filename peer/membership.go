package peer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// silenceThreshold is the time without a message after which a member counts
	// as silent. It is several exchange periods, so that one lost message does
	// not matter.
	silenceThreshold = 2 * time.Second
	// forgetDelay is the time after which the records of a run outside the roster
	// are deleted.
	forgetDelay = time.Hour
	// evictionDelay is the time of silence, or of absence from the platform's
	// list, after which the eviction of a member may be proposed. Short pauses
	// must not cause a new generation.
	evictionDelay = 10 * time.Second
)

// State is the state of one run of an instance, as seen by this instance.
type State string

// States of a run.
const (
	// StateDead is a member that has been silent for evictionDelay, or is silent
	// and has been absent from the platform's list for that long. It may be
	// evicted.
	StateDead State = "Dead"
	// StateLeaving is a member that is not silent and announced its planned stop.
	StateLeaving State = "Leaving"
	// StateLive is a member that was heard from recently.
	StateLive State = "Live"
	// StateReplaced is a member that ended, because another run of its
	// instance was found.
	StateReplaced State = "Replaced"
	// StateSilent is a member that has not been heard from recently.
	StateSilent State = "Silent"
)

// Listed is one entry of the platform's list of instances. The list lags behind
// the actual state.
type Listed struct {
	// Address is "ip:port" of the peer listener.
	Address  string
	Instance fleet.InstanceID
	// Leaving is true if the instance is shutting down.
	Leaving bool
}

// Liveness is a report about a third member, sent between two members.
type Liveness struct {
	Member Member
	// Silence is the time since the reporting member heard from it.
	Silence time.Duration
}

// Membership tracks the state of the other instances from the platform's list
// and from the messages of the peers, and decides on changes of the roster. It is
// not safe for concurrent use.
type Membership struct {
	absentFromListSince map[fleet.InstanceID]time.Time
	contacts            map[Member]*contact
	leaving             bool
	listed              []Listed
	// replaced holds the runs that ended because a new run of the instance was
	// found, with the time at which it was found.
	replaced map[Member]time.Time
	// lastHeardBy holds for each reporting member the times at which it last heard
	// from other members. Only silent members are reported.
	lastHeardBy map[Member]map[Member]time.Time
	self        Member
	startedAt   time.Time
}

// contact is the content of the last message from a run of an instance.
type contact struct {
	// at is the time at which the message was received.
	at      time.Time
	held    Versions
	leaving bool
}

// NewMembership returns the membership at the start of this instance, which knows
// no other instances.
func NewMembership(now time.Time, self Member) *Membership {
	return &Membership{
		absentFromListSince: make(map[fleet.InstanceID]time.Time),
		contacts:            make(map[Member]*contact),
		replaced:            make(map[Member]time.Time),
		lastHeardBy:         make(map[Member]map[Member]time.Time),
		self:                self,
		startedAt:           now,
	}
}

// Listed returns the newest list of instances from the platform.
func (m *Membership) Listed() []Listed {
	return m.listed
}

// Live returns the runs that were heard from recently and are not leaving, sorted
// by ID. It includes this instance unless that is leaving.
func (m *Membership) Live(now time.Time) []Member {
	var live []Member
	if !m.leaving {
		live = append(live, m.self)
	}
	for member := range m.contacts {
		if m.State(now, member) == StateLive {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, compareMembers)
	return live
}

// Proposal returns the members of the next generation. It returns false if no
// change is needed, or if another instance is the one to propose it. ForceNew
// asks for a new generation even if the members stay the same. Only members for
// which noGrantOutstanding returns true may be evicted; see
// Validity.NoGrantOutstanding.
func (m *Membership) Proposal(now time.Time, roster Roster, forceNew bool, noGrantOutstanding func(Member) bool) ([]Member, bool) {
	if m.electProposer(now, roster) != m.self {
		return nil, false
	}
	var next []Member
	for _, member := range roster.Members {
		switch m.State(now, member) {
		case StateLeaving, StateReplaced:
		case StateDead:
			if !noGrantOutstanding(member) || !m.majorityRemains(now, roster) || !m.isSilentToMajority(now, member, roster) {
				next = append(next, member)
			}
		default:
			next = append(next, member)
		}
	}
	for _, member := range m.Live(now) {
		if !slices.Contains(next, member) {
			next = append(next, member)
		}
	}
	slices.SortFunc(next, compareMembers)
	if len(next) == 0 || !forceNew && slices.Equal(next, roster.Members) {
		return nil, false
	}
	return next, true
}

// RecordMessage records a message from a member, with its reports about others.
// IsResponse means that the message is the response to a call of this instance.
// Only a response proves that another known run of the same instance has ended,
// because a request of an earlier run may arrive late.
func (m *Membership) RecordMessage(now time.Time, member Member, isResponse, leaving bool, liveness []Liveness) {
	if m.isReplaced(member) || member.Instance == m.self.Instance {
		return
	}
	for other := range m.contacts {
		if other.Instance != member.Instance || other == member {
			continue
		}
		if !isResponse {
			return
		}
		m.markReplaced(now, other)
	}
	m.contacts[member] = &contact{at: now, leaving: leaving}
	m.lastHeardBy[member] = make(map[Member]time.Time, len(liveness))
	for _, l := range liveness {
		m.lastHeardBy[member][l.Member] = now.Add(-l.Silence)
	}
}

// RecordList records a new list of instances from the platform.
func (m *Membership) RecordList(now time.Time, listed []Listed) {
	m.listed = listed
	for member := range m.contacts {
		id := member.Instance
		if slices.ContainsFunc(listed, func(l Listed) bool { return l.Instance == id }) {
			delete(m.absentFromListSince, id)
		} else if m.absentFromListSince[id].IsZero() {
			m.absentFromListSince[id] = now
		}
	}
}

// RecordRoster adds the members of the roster and of the previous one to the
// known members, and deletes old records of other runs. A member is an earlier
// run, and so replaced, if it is another run of this instance, or if another run
// of its instance was heard from recently. Members that were not heard from yet
// start as silent.
func (m *Membership) RecordRoster(now time.Time, roster Roster) {
	known := slices.Concat(roster.Members, roster.Previous)
	for member, at := range m.replaced {
		// Messages of an earlier run cannot arrive after this delay.
		if now.Sub(at) >= forgetDelay && !slices.Contains(known, member) {
			delete(m.replaced, member)
		}
	}
	for member, c := range m.contacts {
		if now.Sub(c.at) >= forgetDelay && !slices.Contains(known, member) {
			delete(m.contacts, member)
			delete(m.lastHeardBy, member)
		}
	}
	for _, member := range known {
		if member == m.self || m.isReplaced(member) || m.contacts[member] != nil {
			continue
		}
		if member.Instance == m.self.Instance {
			m.markReplaced(now, member)
			continue
		}
		for other := range m.contacts {
			if other.Instance == member.Instance && now.Sub(m.contacts[other].at) < silenceThreshold {
				m.markReplaced(now, member)
			}
		}
		if !m.isReplaced(member) {
			m.contacts[member] = &contact{at: now.Add(-silenceThreshold)}
		}
	}
}

// Replaced returns the runs that have certainly ended, because another run of the
// same instance was found. The platform runs only one process for each instance
// ID.
func (m *Membership) Replaced() []Member {
	ended := make([]Member, 0, len(m.replaced))
	for member := range m.replaced {
		ended = append(ended, member)
	}
	return ended
}

// SilenceReport returns the members that are silent, to be reported to the peers.
// Other members are left out to keep the periodic message small; reports about
// them would have no effect on an eviction.
func (m *Membership) SilenceReport(now time.Time) []Liveness {
	var report []Liveness
	for member, c := range m.contacts {
		if silence := now.Sub(c.at); silence >= silenceThreshold {
			report = append(report, Liveness{Member: member, Silence: silence})
		}
	}
	slices.SortFunc(report, func(a, b Liveness) int { return compareMembers(a.Member, b.Member) })
	return report
}

// SetLeaving records that this instance is draining for a planned stop.
func (m *Membership) SetLeaving() {
	m.leaving = true
}

// State returns the state of a run.
func (m *Membership) State(now time.Time, member Member) State {
	if member == m.self && m.leaving {
		return StateLeaving
	}
	if member == m.self {
		return StateLive
	}
	if m.isReplaced(member) {
		return StateReplaced
	}
	c := m.contacts[member]
	if c == nil {
		c = &contact{at: m.startedAt}
	}
	silence := now.Sub(c.at)
	absent := m.absentFromListSince[member.Instance]
	switch {
	case silence >= evictionDelay || silence >= silenceThreshold && !absent.IsZero() && now.Sub(absent) >= evictionDelay:
		return StateDead
	case silence >= silenceThreshold:
		return StateSilent
	case c.leaving:
		return StateLeaving
	}
	return StateLive
}

// isReplaced reports whether the run has certainly ended; see Replaced.
func (m *Membership) isReplaced(member Member) bool {
	_, replaced := m.replaced[member]
	return replaced
}

// majorityRemains reports whether a majority of the roster is live, leaving or
// replaced. Without it the joint phase of the next generation would not end.
func (m *Membership) majorityRemains(now time.Time, roster Roster) bool {
	count := 0
	for _, member := range roster.Members {
		switch m.State(now, member) {
		case StateLive, StateLeaving, StateReplaced:
			count++
		}
	}
	return isMajority(count, roster.Members)
}

// electProposer returns the live run that is to propose the next generation: the
// one with the lowest rank. Members of the roster are preferred, because others
// may not know yet whether its joint phase is over.
func (m *Membership) electProposer(now time.Time, roster Roster) Member {
	live := m.Live(now)
	members := slices.DeleteFunc(slices.Clone(live), func(l Member) bool { return !roster.Has(l) })
	if len(members) == 0 {
		members = live
	}
	if len(members) == 0 {
		return Member{}
	}
	return slices.MinFunc(members, func(a, b Member) int {
		if ra, rb := proposerRank(roster, a), proposerRank(roster, b); ra != rb {
			if ra < rb {
				return -1
			}
			return 1
		}
		return compareMembers(a, b)
	})
}

// markReplaced records that a run has ended and deletes its other records.
func (m *Membership) markReplaced(now time.Time, member Member) {
	m.replaced[member] = now
	delete(m.contacts, member)
	delete(m.lastHeardBy, member)
}

// isSilentToMajority reports whether a majority of the roster has not heard from
// the member for the eviction delay, or whether it has been absent from the
// platform's list for that long.
func (m *Membership) isSilentToMajority(now time.Time, member Member, roster Roster) bool {
	if absent := m.absentFromListSince[member.Instance]; !absent.IsZero() && now.Sub(absent) >= evictionDelay {
		return true
	}
	// The count starts with this instance, which has not heard from the member
	// either. The member's own reports do not count.
	silent := 1
	for reporter, heard := range m.lastHeardBy {
		if reporter == member || !roster.Has(reporter) || m.State(now, reporter) != StateLive {
			continue
		}
		if at, known := heard[member]; known && now.Sub(at) >= evictionDelay {
			silent++
		}
	}
	others := slices.DeleteFunc(slices.Clone(roster.Members), func(o Member) bool { return m.isReplaced(o) })
	return isMajority(silent, others)
}

// proposerRank returns a pseudo-random rank of the member's instance, which
// differs between generations.
func proposerRank(roster Roster, member Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(member.Instance))
	_, _ = digest.Write([]byte{0, byte(roster.Generation), byte(roster.Generation >> 8)})
	return digest.Sum64()
}
