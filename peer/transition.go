package peer

import "time"

// transition tracks the change to a new roster generation or sheet version. It
// is complete when no instance can use shares of the old one any more. A
// complete transition stays complete.
type transition struct {
	completed bool
	// confirmed holds the members that confirmed that they hold no more shares
	// than the new generation or sheet version allows.
	confirmed map[Member]bool
	// ended holds the members whose process has certainly ended.
	ended map[Member]bool
	// nonMemberHasShares is true if an instance outside the roster may hold
	// shares of the old generation or sheet version.
	nonMemberHasShares bool
	// adopted holds the members that hold the new generation or sheet version.
	adopted map[Member]bool
	// majoritySince is the time since which a majority of the members has adopted
	// the new version or ended.
	majoritySince time.Time
	// members are the members that may hold old shares.
	members []Member
}

// newTransition returns a transition of the members, which is complete if there
// are none.
func newTransition(members []Member) *transition {
	return &transition{
		completed: len(members) == 0,
		confirmed: make(map[Member]bool),
		ended:     make(map[Member]bool),
		adopted:   make(map[Member]bool),
		members:   members,
	}
}

// updateCompleted completes the transition if possible, and reports whether it
// is complete. Once a majority of the members has adopted the new version or
// ended, there are two ways to completion:
//
//   - All members have confirmed, and none of them gave shares to an instance
//     outside the roster.
//   - The majority has lasted for longer than a lease. An instance that has not
//     adopted the version cannot be valid then, because its store read or its
//     majority of lease grants would have named the version. Members that ended
//     grant no leases, but the versions that they knew are lost with them. If
//     they are needed for the majority, a store read sent since then is required
//     as well.
func (t *transition) updateCompleted(now, storeRead time.Time, lease time.Duration) bool {
	if t.completed {
		return true
	}
	confirmed, adopted, adoptedOrEnded := 0, 0, 0
	for _, member := range t.members {
		if t.confirmed[member] {
			confirmed++
		}
		if t.adopted[member] {
			adopted++
		}
		if t.adopted[member] || t.ended[member] {
			adoptedOrEnded++
		}
	}
	if !isMajority(adoptedOrEnded, t.members) {
		return false
	}
	if t.majoritySince.IsZero() {
		t.majoritySince = now
	}
	if confirmed == len(t.members) && !t.nonMemberHasShares {
		t.completed = true
	}
	newestVersionKnown := isMajority(adopted, t.members) || !storeRead.Before(t.majoritySince)
	if newestVersionKnown && !now.Before(t.majoritySince.Add(expiryWait(lease))) {
		t.completed = true
	}
	return t.completed
}

// completeByReport records the report of another instance that the transition is
// complete, so that the next call of updateCompleted completes it here.
func (t *transition) completeByReport() {
	t.nonMemberHasShares = false
	for _, member := range t.members {
		t.confirmed[member] = true
		t.adopted[member] = true
	}
}
