package peer

import "time"

// transition tracks how the members of the generation before learn of a new
// generation or sheet version. It is complete when none of them can admit
// with shares of before. That holds forever once it is true.
type transition struct {
	completed  bool
	confirmed  map[Member]bool
	ended      map[Member]bool
	guests     bool
	holding    map[Member]bool
	majorityAt time.Time
	required   []Member
}

func newTransition(required []Member) *transition {
	return &transition{
		completed: len(required) == 0,
		confirmed: make(map[Member]bool),
		ended:     make(map[Member]bool),
		holding:   make(map[Member]bool),
		required:  required,
	}
}

// complete reports whether the transition is over. There are two ways. Each
// member confirmed and none of them gave shares to an instance outside the
// roster. Or a majority holds the new version for longer than a lease: then an
// instance that does not hold it can have no valid lease, because its read or
// its majority of vouchers would have named the version. Members that ended
// vouch no more, but what they knew is lost, so a later store read must
// replace it.
func (t *transition) complete(now, storeRead time.Time, lease time.Duration) bool {
	if t.completed {
		return true
	}
	confirmed, holding, silenced := 0, 0, 0
	for _, member := range t.required {
		if t.confirmed[member] {
			confirmed++
		}
		if t.holding[member] {
			holding++
		}
		if t.holding[member] || t.ended[member] {
			silenced++
		}
	}
	if !isMajority(silenced, t.required) {
		return false
	}
	if t.majorityAt.IsZero() {
		t.majorityAt = now
	}
	if confirmed == len(t.required) && !t.guests {
		t.completed = true
	}
	known := isMajority(holding, t.required) || !storeRead.Before(t.majorityAt)
	if known && !now.Before(t.majorityAt.Add(expiryWait(lease))) {
		t.completed = true
	}
	return t.completed
}

// completeByReport records that another instance found the transition complete.
func (t *transition) completeByReport() {
	t.guests = false
	for _, member := range t.required {
		t.confirmed[member] = true
		t.holding[member] = true
	}
}
