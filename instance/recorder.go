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

// maxPromotionRecords is the number of promotion records that an instance keeps
// in memory.
const maxPromotionRecords = 1024

// recorder records what the group controllers, the peer controller and the
// sessions report as events.
type recorder struct {
	events *event.Recorder

	mu         sync.Mutex
	promotions []group.PromotionRecord
}

var (
	_ caller.EventRecorder = &recorder{}
	_ group.Recorder       = &recorder{}
)

// Promotions returns the latest promotions that this instance carried out, oldest
// first.
func (r *recorder) Promotions() []group.PromotionRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.promotions)
}

// Record records an event of a session. Events without a number in the catalogue
// are dropped.
func (r *recorder) Record(e caller.Event) {
	number, known := sessionEventNumber(e.Name)
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

// RecordDetection records that a primary became suspected or healthy.
func (r *recorder) RecordDetection(id fleet.GroupID, detection group.Detection) {
	if detection.Term == 0 {
		// No primary was known before, as after every start.
		return
	}
	number := event.PrimarySuspected
	if detection.Health == group.Healthy {
		number = event.PrimaryHeard
	}
	r.events.Record(number, event.Fields{
		Database: id,
		Term:     detection.Term,
		Text:     fmt.Sprintf("%s, %s, no answer for %v", detection.Health, detection.Reason, detection.Silence.Round(time.Millisecond)),
	})
}

// RecordPhase records that a promotion has entered a phase.
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

// RecordPromotion stores and records a promotion whose new primary is established.
func (r *recorder) RecordPromotion(record group.PromotionRecord) {
	r.mu.Lock()
	r.promotions = append(r.promotions, record)
	if excess := len(r.promotions) - maxPromotionRecords; excess > 0 {
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

// recordPeerEvent records an event of the peer controller.
func (r *recorder) recordPeerEvent(e peer.Event) {
	if number, known := peerEventNumber(e.Kind); known {
		r.events.Record(number, event.Fields{Text: e.Text})
	}
}

// peerEventNumber returns the catalogue number of a peer event, if it has one.
func peerEventNumber(kind peer.EventKind) (number event.Number, known bool) {
	switch kind {
	case peer.EventMemberHeard:
		return event.MemberHeard, true
	case peer.EventMemberSilent:
		return event.MemberSuspected, true
	case peer.EventRosterInForce:
		return event.RosterInForce, true
	case peer.EventSharesTransferred:
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

// sessionEventNumber returns the catalogue number of a session event, if it has
// one.
func sessionEventNumber(name caller.EventName) (number event.Number, known bool) {
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
	case caller.EventCallerRefused:
		return event.CallerRefused, true
	case caller.EventSessionClosed:
		return event.SessionClosed, true
	}
	return 0, false
}
