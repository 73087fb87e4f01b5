package group

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Clock tells the time. It must be monotonic.
type Clock interface {
	Now() time.Time
}

// Peers is what the controller of a group learns from other instances.
type Peers interface {
	// Live returns the instances believed to be live, this one included.
	Live() []fleet.InstanceID
	// Suspicions returns the newest reports of other instances on a group.
	Suspicions(group fleet.GroupID) []SuspicionReport
}

// Recorder takes note of what happens in a group. Calls must not block.
type Recorder interface {
	// RecordDetection is called when the judgement of the primary changes.
	RecordDetection(group fleet.GroupID, detection Detection)
	// RecordPhase is called when the promoter enters a phase.
	RecordPhase(group fleet.GroupID, phase Phase, term fleet.Term)
	// RecordPromotion is called when a promotion of this instance is established.
	RecordPromotion(record PromotionRecord)
}

// ServerConfig is one server of a group and the way to reach it.
type ServerConfig struct {
	Control    Control
	DataCentre fleet.DataCentre
	ID         fleet.ServerID
}

// Config holds what a controller depends on. All fields must be set.
type Config struct {
	Clock    Clock
	Epoch    fleet.Epoch
	Events   Recorder
	Group    fleet.GroupID
	Instance fleet.InstanceID
	Peers    Peers
	// Placement returns the placement in force.
	Placement func() Placement
	// Random is used by the controller alone.
	Random  *rand.Rand
	Section *blackboard.Section[View]
	// Servers lists all servers of the group. Majorities are counted over it.
	Servers  []ServerConfig
	Settings Settings
}

// Settings holds the durations of the decisions on one group.
type Settings struct {
	// BackoffMax bounds the wait of a promoter that lost.
	BackoffMax time.Duration
	// BackoffMin is the wait of a promoter that lost once.
	BackoffMin time.Duration
	// CatchUpTimeout bounds the wait of a handover for the target's log. Writes
	// wait meanwhile, so it is short.
	CatchUpTimeout time.Duration
	// CommitWaitTimeout bounds one wait call for the evidence of commits.
	CommitWaitTimeout time.Duration
	// DetectTime is the silence after which a primary has failed.
	DetectTime time.Duration
	// EstablishTimeout bounds the time from a promotion to its establishment.
	EstablishTimeout time.Duration
	// HandoverDrain is the time for running transactions in a handover that
	// the placement calls for.
	HandoverDrain time.Duration
	// HandoverRetry is the time between handovers that the placement calls for.
	HandoverRetry time.Duration
	// MaxHandoverLag is the largest lag of a replica that a handover may choose.
	MaxHandoverLag time.Duration
	// PollInterval is the time between status requests at rest.
	PollInterval time.Duration
	// PollTimeout bounds one control call. It is a sixth of DetectTime, so that
	// several lost calls in a row are needed before a server counts as silent.
	PollTimeout time.Duration
	// RankDelay is the wait of a candidate for each candidate ranked before it.
	RankDelay time.Duration
	// RetryInterval is the time after which a failed control call is repeated.
	RetryInterval time.Duration
	// StepTimeout bounds each step of a promotion.
	StepTimeout time.Duration
	// SuspectInterval is the time between status requests under suspicion.
	SuspectInterval time.Duration
	// MaxStatusAge is the age up to which a primary's status is used for routing.
	MaxStatusAge time.Duration
}

// DefaultSettings returns the settings for servers about 1 ms away.
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
