package owner

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// unavailableBackoff is how long an owner isn't called for a group after it
	// reported that it can't use the group's servers.
	unavailableBackoff = time.Second
	// silenceBackoff is how long an owner isn't called after it didn't respond.
	silenceBackoff = 1500 * time.Millisecond
)

// Directory holds the owners of all groups, and which of them were unavailable
// recently. It isn't safe for concurrent use.
type Directory struct {
	owners map[fleet.GroupID][]fleet.InstanceID
	// silentUntil is when an owner that didn't respond may be called again.
	silentUntil map[fleet.InstanceID]time.Time
	// unavailableUntil is when an owner may be called again for a group.
	unavailableUntil map[ownedGroup]time.Time
}

// ownedGroup is a group at one of its owners.
type ownedGroup struct {
	group    fleet.GroupID
	instance fleet.InstanceID
}

// NewDirectory returns a directory without owners.
func NewDirectory() *Directory {
	return &Directory{
		owners:           map[fleet.GroupID][]fleet.InstanceID{},
		silentUntil:      map[fleet.InstanceID]time.Time{},
		unavailableUntil: map[ownedGroup]time.Time{},
	}
}

// Set replaces the owners of all groups. A group without owners is used by each
// instance directly.
func (d *Directory) Set(owners map[fleet.GroupID][]fleet.InstanceID) {
	d.owners = owners
}

// Owners returns the owners of a group in order of rank.
func (d *Directory) Owners(group fleet.GroupID) []fleet.InstanceID {
	return d.owners[group]
}

// Rank returns the rank of an instance among the owners of a group, from zero. It
// reports false if the instance is not an owner.
func (d *Directory) Rank(group fleet.GroupID, instance fleet.InstanceID) (rank int, found bool) {
	rank = slices.Index(d.owners[group], instance)
	return rank, rank >= 0
}

// Target returns the instance to which requests for a group are sent now: the first
// owner that is live and was not unavailable recently. It reports false if there is
// none, so that the group's servers must be used directly.
func (d *Directory) Target(now time.Time, group fleet.GroupID, isLive func(fleet.InstanceID) bool) (fleet.InstanceID, bool) {
	for _, instance := range d.owners[group] {
		if now.Before(d.silentUntil[instance]) || now.Before(d.unavailableUntil[ownedGroup{group: group, instance: instance}]) || !isLive(instance) {
			continue
		}
		return instance, true
	}
	return "", false
}

// RecordSilence records that an instance did not respond.
func (d *Directory) RecordSilence(now time.Time, instance fleet.InstanceID) {
	d.silentUntil[instance] = now.Add(silenceBackoff)
}

// RecordUnavailable records that an instance reported that it can't use the servers
// of a group.
func (d *Directory) RecordUnavailable(now time.Time, group fleet.GroupID, instance fleet.InstanceID) {
	d.unavailableUntil[ownedGroup{group: group, instance: instance}] = now.Add(unavailableBackoff)
}

// Prune forgets backoffs that have ended.
func (d *Directory) Prune(now time.Time) {
	for instance, until := range d.silentUntil {
		if !now.Before(until) {
			delete(d.silentUntil, instance)
		}
	}
	for key, until := range d.unavailableUntil {
		if !now.Before(until) {
			delete(d.unavailableUntil, key)
		}
	}
}
