package peer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// silentAfter is the time without an answer after which a member counts
	// as silent. It is several exchange periods, so that one lost message does
	// not matter.
	silentAfter = 2 * time.Second
	// forgetAfter is the time after which a run outside the roster is forgotten.
	forgetAfter = time.Hour
	// evictAfter is the time of silence or absence from the platform's list
	// after which an eviction may be proposed. Short pauses must not cause a
	// new generation.
	evictAfter = 10 * time.Second
)

// State is what is known of one run of an instance.
type State string

// States of an instance.
const (
	// StateDead is a member that may be evicted.
	StateDead State = "Dead"
	// StateLeaving is a member that answers and has announced its planned stop.
	StateLeaving State = "Leaving"
	// StateLive is a member that answered lately.
	StateLive State = "Live"
	// StateReplaced is a member whose instance answered with another epoch.
	StateReplaced State = "Replaced"
	// StateSilent is a member that has not answered lately.
	StateSilent State = "Silent"
)

// Listed is one entry of the platform's lagging list of instances.
type Listed struct {
	Address  string
	Instance fleet.InstanceID
	Leaving  bool
}

// Liveness is what a member says about the silence of a third one.
type Liveness struct {
	Member  Member
	Silence time.Duration
}

// Membership joins the platform's list with the evidence of the exchanges. It
// is not safe for concurrent use.
type Membership struct {
	absentSince map[fleet.InstanceID]time.Time
	heard       map[Member]*contact
	leaving     bool
	listed      []Listed
	replaced    map[Member]time.Time
	reports     map[Member]map[Member]time.Time
	self        Member
	started     time.Time
}

// contact is what one run of an instance said last.
type contact struct {
	at      time.Time
	held    Versions
	leaving bool
}

// NewMembership returns the membership as known at the start of an instance.
func NewMembership(now time.Time, self Member) *Membership {
	return &Membership{
		absentSince: make(map[fleet.InstanceID]time.Time),
		heard:       make(map[Member]*contact),
		replaced:    make(map[Member]time.Time),
		reports:     make(map[Member]map[Member]time.Time),
		self:        self,
		started:     now,
	}
}

// Listed returns the newest list of the platform.
func (m *Membership) Listed() []Listed {
	return m.listed
}

// Live returns the runs that answered lately and do not leave, in the order of
// their ids. This instance is included.
func (m *Membership) Live(now time.Time) []Member {
	var live []Member
	if !m.leaving {
		live = append(live, m.self)
	}
	for member := range m.heard {
		if m.State(now, member) == StateLive {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, compareMembers)
	return live
}

// Proposal returns the members of the next generation, or false when the
// roster may stay as it is or this instance should leave the proposal to a
// member of lower rank. NoGrantOutstanding tells whether no voucher is outstanding.
func (m *Membership) Proposal(now time.Time, roster Roster, reset bool, mayEvict func(Member) bool) ([]Member, bool) {
	if m.proposer(now, roster) != m.self {
		return nil, false
	}
	var next []Member
	for _, member := range roster.Members {
		switch m.State(now, member) {
		case StateLeaving, StateReplaced:
		case StateDead:
			if !mayEvict(member) || !m.majorityRemains(now, roster) || !m.silentToMajority(now, member, roster) {
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
	if len(next) == 0 || !reset && slices.Equal(next, roster.Members) {
		return nil, false
	}
	return next, true
}

// RecordMessage records a message of a member, with what it says about others.
// Answered means that it is the answer to a call of this instance. Only an
// answer shows that another run of the same instance ended, because a request
// of the earlier run may arrive late.
func (m *Membership) RecordMessage(now time.Time, member Member, answered, leaving bool, liveness []Liveness) {
	if m.isReplaced(member) || member.Instance == m.self.Instance {
		return
	}
	for other := range m.heard {
		if other.Instance != member.Instance || other == member {
			continue
		}
		if !answered {
			return
		}
		m.replace(now, other)
	}
	m.heard[member] = &contact{at: now, leaving: leaving}
	m.reports[member] = make(map[Member]time.Time, len(liveness))
	for _, l := range liveness {
		m.reports[member][l.Member] = now.Add(-l.Silence)
	}
}

// RecordList records the platform's list.
func (m *Membership) RecordList(now time.Time, listed []Listed) {
	m.listed = listed
	for member := range m.heard {
		id := member.Instance
		if slices.ContainsFunc(listed, func(l Listed) bool { return l.Instance == id }) {
			delete(m.absentSince, id)
		} else if m.absentSince[id].IsZero() {
			m.absentSince[id] = now
		}
	}
}

// RecordRoster records that the member belongs to the roster. When its
// instance is already known with another epoch that answers, the member is
// an earlier run.
func (m *Membership) RecordRoster(now time.Time, roster Roster) {
	known := slices.Concat(roster.Members, roster.Previous)
	for member, at := range m.replaced {
		// Messages of an earlier run do not arrive this late.
		if now.Sub(at) >= forgetAfter && !slices.Contains(known, member) {
			delete(m.replaced, member)
		}
	}
	for member, c := range m.heard {
		if now.Sub(c.at) >= forgetAfter && !slices.Contains(known, member) {
			delete(m.heard, member)
			delete(m.reports, member)
		}
	}
	for _, member := range known {
		if member == m.self || m.isReplaced(member) || m.heard[member] != nil {
			continue
		}
		if member.Instance == m.self.Instance {
			m.replace(now, member)
			continue
		}
		for other := range m.heard {
			if other.Instance == member.Instance && now.Sub(m.heard[other].at) < silentAfter {
				m.replace(now, member)
			}
		}
		if !m.isReplaced(member) {
			m.heard[member] = &contact{at: now.Add(-silentAfter)}
		}
	}
}

// Replaced returns the runs that ended for certain, because their instance
// runs with another epoch. The platform runs one process for each instance id.
func (m *Membership) Replaced() []Member {
	ended := make([]Member, 0, len(m.replaced))
	for member := range m.replaced {
		ended = append(ended, member)
	}
	return ended
}

// Report returns what this instance tells its peers about the others. Only
// silence is evidence, so members that answer are left out. This keeps the
// periodic message small.
func (m *Membership) SilenceReport(now time.Time) []Liveness {
	var report []Liveness
	for member, c := range m.heard {
		if silence := now.Sub(c.at); silence >= silentAfter {
			report = append(report, Liveness{Member: member, Silence: silence})
		}
	}
	slices.SortFunc(report, func(a, b Liveness) int { return compareMembers(a.Member, b.Member) })
	return report
}

// SetLeaving records that this instance drains for a planned stop.
func (m *Membership) SetLeaving() {
	m.leaving = true
}

// State returns what is known of a run.
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
	c := m.heard[member]
	if c == nil {
		c = &contact{at: m.started}
	}
	silence := now.Sub(c.at)
	absent := m.absentSince[member.Instance]
	switch {
	case silence >= evictAfter || silence >= silentAfter && !absent.IsZero() && now.Sub(absent) >= evictAfter:
		return StateDead
	case silence >= silentAfter:
		return StateSilent
	case c.leaving:
		return StateLeaving
	}
	return StateLive
}

func (m *Membership) isReplaced(member Member) bool {
	_, replaced := m.replaced[member]
	return replaced
}

// majorityRemains reports whether a majority of the roster answers or ended
// for certain. Without it the joint phase of the next generation would not end.
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

// proposer returns the live run with the lowest rank. Members of the roster
// come first, because others may not know yet whether its joint phase is over.
func (m *Membership) proposer(now time.Time, roster Roster) Member {
	live := m.Live(now)
	members := slices.DeleteFunc(slices.Clone(live), func(l Member) bool { return !roster.Has(l) })
	if len(members) == 0 {
		members = live
	}
	if len(members) == 0 {
		return Member{}
	}
	return slices.MinFunc(members, func(a, b Member) int {
		if ra, rb := rank(roster, a), rank(roster, b); ra != rb {
			if ra < rb {
				return -1
			}
			return 1
		}
		return compareMembers(a, b)
	})
}

// replace marks a run as ended and drops what it said.
func (m *Membership) replace(now time.Time, member Member) {
	m.replaced[member] = now
	delete(m.heard, member)
	delete(m.reports, member)
}

// silentToMajority reports whether a majority of the roster has heard nothing
// of the member for the eviction time, or the platform dropped it for that long.
func (m *Membership) silentToMajority(now time.Time, member Member, roster Roster) bool {
	if absent := m.absentSince[member.Instance]; !absent.IsZero() && now.Sub(absent) >= evictAfter {
		return true
	}
	// This instance and the member itself: the member cannot contradict.
	silent := 1
	for reporter, heard := range m.reports {
		if reporter == member || !roster.Has(reporter) || m.State(now, reporter) != StateLive {
			continue
		}
		if at, known := heard[member]; known && now.Sub(at) >= evictAfter {
			silent++
		}
	}
	others := slices.DeleteFunc(slices.Clone(roster.Members), func(o Member) bool { return m.isReplaced(o) })
	return isMajority(silent, others)
}

func rank(roster Roster, member Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(member.Instance))
	_, _ = digest.Write([]byte{0, byte(roster.Generation), byte(roster.Generation >> 8)})
	return digest.Sum64()
}
