package instance

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/peer"
)

// keptPromotions is the number of promotion records that an instance keeps.
const keptPromotions = 1024

// recorder turns what groups and callers report into events.
type recorder struct {
	events *event.Recorder

	mu         sync.Mutex
	promotions []group.PromotionRecord
}

var (
	_ caller.EventRecorder = &recorder{}
	_ group.Recorder       = &recorder{}
)

// Promotions returns the promotions that this instance ordered, oldest first.
func (r *recorder) Promotions() []group.PromotionRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.promotions)
}

// Record records an event of a session.
func (r *recorder) Record(e caller.Event) {
	number, known := sessionEvent(e.Name)
	if !known {
		return
	}
	r.events.Record(number, event.Fields{
		Database:  e.Group,
		Server:    e.Server,
		Text:      e.Text,
		Workspace: e.Workspace,
	})
}

// RecordDetection records a change in the judgement of a primary.
func (r *recorder) RecordDetection(id fleet.GroupID, detection group.Detection) {
	if detection.Term == 0 {
		// No primary was known yet, as at each start.
		return
	}
	number := event.PrimarySuspected
	if detection.Health == group.Healthy {
		number = event.PrimaryHeard
	}
	r.events.Record(number, event.Fields{
		Database: id,
		Term:     detection.Term,
		Text:     fmt.Sprintf("%s, %s, silent for %v", detection.Health, detection.Reason, detection.Silence.Round(time.Millisecond)),
	})
}

// RecordPhase records the steps of a promotion.
func (r *recorder) RecordPhase(id fleet.GroupID, phase group.Phase, term fleet.Term) {
	fields := event.Fields{Database: id, Term: term, Text: string(phase)}
	switch phase {
	case group.PhaseBackoff:
		r.events.Record(event.PromotionLost, fields)
	case group.PhaseDrain:
		r.events.Record(event.HandoverStarted, fields)
	case group.PhaseFence:
		r.events.Record(event.PromotionStarted, fields)
	case group.PhasePromote:
		r.events.Record(event.PromotionFenced, fields)
	}
}

// RecordPromotion keeps and records a promotion that is established.
func (r *recorder) RecordPromotion(record group.PromotionRecord) {
	r.mu.Lock()
	r.promotions = append(r.promotions, record)
	if excess := len(r.promotions) - keptPromotions; excess > 0 {
		r.promotions = slices.Delete(r.promotions, 0, excess)
	}
	r.mu.Unlock()
	r.events.Record(event.PromotionDone, event.Fields{
		Database: record.Group,
		Server:   record.Server,
		Term:     record.Term,
		Text:     fmt.Sprintf("%s, established %v after detection", record.Reason, record.EstablishedAt.Sub(record.DetectedAt).Round(time.Millisecond)),
	})
}

// recordPeer records an event of the controller for the other instances.
func (r *recorder) recordPeer(e peer.Event) {
	if number, known := peerEvent(e.Kind); known {
		r.events.Record(number, event.Fields{Text: e.Text})
	}
}

func peerEvent(kind peer.EventKind) (number event.Number, known bool) {
	switch kind {
	case peer.EventMemberHeard:
		return event.MemberHeard, true
	case peer.EventMemberSilent:
		return event.MemberSuspected, true
	case peer.EventRosterInForce:
		return event.RosterInForce, true
	case peer.EventSharesMoved:
		return event.SharesTransferred, true
	case peer.EventStoreAvailable:
		return event.StoreAvailable, true
	case peer.EventStoreUnavailable:
		return event.StoreUnavailable, true
	case peer.EventUnusable:
		return event.SheetRefused, true
	}
	return 0, false
}

func sessionEvent(name caller.EventName) (number event.Number, known bool) {
	switch name {
	case caller.EventAuthenticationFailed:
		return event.AuthenticationFailed, true
	case caller.EventBackendLost:
		return event.ConnectionFailed, true
	case caller.EventCommitNotRun:
		return event.CommitLost, true
	case caller.EventCommitUnknown:
		return event.OutcomeUnknown, true
	case caller.EventKeyWithdrawn:
		return event.KeyWithdrawn, true
	case caller.EventRetry:
		return event.RequestRetried, true
	case caller.EventSessionClosed:
		return event.SessionClosed, true
	}
	return 0, false
}
