package group

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Clock returns the current time. It must be monotonic.
type Clock interface {
	Now() time.Time
}

// Peers gives the controller of a group access to what other instances report.
type Peers interface {
	// Live returns the instances that are considered live, including this one.
	Live() []fleet.InstanceID
	// Suspicions returns the latest reports from other instances that the
	// primary of a group does not respond to them.
	Suspicions(group fleet.GroupID) []SuspicionReport
}

// Recorder receives the events of a group. Its methods must not block.
type Recorder interface {
	// RecordDetection is called when the health of the primary, or the reason
	// for it, changes.
	RecordDetection(group fleet.GroupID, detection Detection)
	// RecordPhase is called when the promoter enters a phase.
	RecordPhase(group fleet.GroupID, phase Phase, term fleet.Term)
	// RecordPromotion is called when the term of a primary that this instance
	// promoted is established.
	RecordPromotion(record PromotionRecord)
}

// ServerConfig describes one server of a group and how to control it.
type ServerConfig struct {
	Control    Control
	DataCentre fleet.DataCentre
	ID         fleet.ServerID
}

// Config holds the dependencies and settings of a controller. All fields must
// be set.
type Config struct {
	Clock    Clock
	Epoch    fleet.Epoch
	Events   Recorder
	Group    fleet.GroupID
	Instance fleet.InstanceID
	Peers    Peers
	// Placement returns the current placement.
	Placement func() Placement
	// Random must not be shared: only the controller may use it.
	Random *rand.Rand
	// Section is where the controller publishes its view of the group.
	Section *blackboard.Section[View]
	// Servers lists all servers of the group. A majority is a majority of this
	// list.
	Servers  []ServerConfig
	Settings Settings
}

// Settings holds the timeouts and intervals that apply to one group.
type Settings struct {
	// BackoffMax limits the random part of a promoter's back-off after failed
	// attempts.
	BackoffMax time.Duration
	// BackoffMin is the base of the back-off. The random part doubles with each
	// failed attempt.
	BackoffMin time.Duration
	// CatchUpTimeout limits how long a handover waits for the target to receive
	// the old primary's whole log. Writes are blocked meanwhile, so it is short.
	CatchUpTimeout time.Duration
	// CommitWaitTimeout limits one Control.Wait call that waits for a server to
	// receive a pending write.
	CommitWaitTimeout time.Duration
	// DetectTime is the time without a response or heartbeat after which a
	// primary counts as failed.
	DetectTime time.Duration
	// EstablishTimeout limits the time from a successful Promote call until the
	// new term is established.
	EstablishTimeout time.Duration
	// HandoverDrain is the time that running transactions get to finish in a
	// handover that the controller starts itself.
	HandoverDrain time.Duration
	// HandoverRetry is the minimum time between handovers that the controller
	// starts itself.
	HandoverRetry time.Duration
	// MaxHandoverLag is the maximum replication lag of a handover target.
	MaxHandoverLag time.Duration
	// PollInterval is the time between status requests while the primary is
	// healthy.
	PollInterval time.Duration
	// PollTimeout limits one control call. It is a sixth of DetectTime, so that
	// several calls in a row must be lost before a server counts as failed.
	PollTimeout time.Duration
	// RankDelay is how long an instance delays a promotion for each instance
	// that ranks before it.
	RankDelay time.Duration
	// RetryInterval is the delay before a failed control call is retried.
	RetryInterval time.Duration
	// StepTimeout limits the fence phase and the promote phase of a promotion,
	// and is added to the drain time in the drain phase.
	StepTimeout time.Duration
	// SuspectInterval is the time between status requests while the primary is
	// suspected or failed.
	SuspectInterval time.Duration
	// MaxStatusAge is the maximum age of the primary's status for which the
	// server is still used as the primary in routing.
	MaxStatusAge time.Duration
}

// DefaultSettings returns settings for servers at a network distance of about
// 1 ms.
func DefaultSettings() Settings {
	return Settings{
		BackoffMax:        1600 * time.Millisecond,
		BackoffMin:        100 * time.Millisecond,
		CatchUpTimeout:    200 * time.Millisecond,
		CommitWaitTimeout: time.Second,
		DetectTime:        900 * time.Millisecond,
		EstablishTimeout:  2 * time.Second,
		HandoverDrain:     time.Second,
		MaxHandoverLag:    time.Second,
		HandoverRetry:     2 * time.Second,
		PollInterval:      250 * time.Millisecond,
		PollTimeout:       150 * time.Millisecond,
		RankDelay:         150 * time.Millisecond,
		RetryInterval:     50 * time.Millisecond,
		StepTimeout:       500 * time.Millisecond,
		SuspectInterval:   50 * time.Millisecond,
		MaxStatusAge:      time.Second,
	}
}
