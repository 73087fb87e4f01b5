// Package faultmatrix lists what must happen when each fault meets each step,
// with the test that brings it about. The page docs/fault-matrix.md is
// generated from the list.
package faultmatrix

import "strings"

// Fault is one kind of failure that the design page names.
type Fault string

// Faults in the order of the design page.
const (
	// FaultPrimaryCutOff is a partition between the primary and its replicas.
	FaultPrimaryCutOff Fault = "PrimaryCutOff"
	// FaultPrimaryCrash ends the primary and its connections.
	FaultPrimaryCrash Fault = "PrimaryCrash"
	// FaultReplicaLags is a replica that receives but does not apply.
	FaultReplicaLags Fault = "ReplicaLags"
	// FaultInstanceDies ends an instance without a drain.
	FaultInstanceDies Fault = "InstanceDies"
	// FaultKeyWithdrawn takes the key of a connected caller out of the sheet.
	FaultKeyWithdrawn Fault = "KeyWithdrawn"
	// FaultStoreDown is a table service that fails each call.
	FaultStoreDown Fault = "StoreDown"
	// FaultStoreSlow is a table service that answers late or after the timeout.
	FaultStoreSlow Fault = "StoreSlow"
	// FaultStoreAnswerLost loses the answer to a write that took effect.
	FaultStoreAnswerLost Fault = "StoreAnswerLost"
	// FaultLeaseLapses ends the validity lease of an instance that is paused or
	// cut off from the store and its peers.
	FaultLeaseLapses Fault = "LeaseLapses"
	// FaultOperatorsRace lets two operators publish against one version.
	FaultOperatorsRace Fault = "OperatorsRace"
)

// Faults returns all faults in the order of the design page.
func Faults() []Fault {
	return []Fault{
		FaultPrimaryCutOff, FaultPrimaryCrash, FaultReplicaLags, FaultInstanceDies, FaultKeyWithdrawn,
		FaultStoreDown, FaultStoreSlow, FaultStoreAnswerLost, FaultLeaseLapses, FaultOperatorsRace,
	}
}

// Step is a point at which a fault can occur.
type Step string

// Steps in the order in which an instance and a request pass them.
const (
	StepStartUp         Step = "StartUp"
	StepAuthentication  Step = "Authentication"
	StepAdmission       Step = "Admission"
	StepQueueing        Step = "Queueing"
	StepBeforeSend      Step = "BeforeSend"
	StepAfterSend       Step = "AfterSend"
	StepBeforeAnswer    Step = "BeforeAnswer"
	StepAfterAnswer     Step = "AfterAnswer"
	StepInTransaction   Step = "InTransaction"
	StepCommit          Step = "Commit"
	StepPromotion       Step = "Promotion"
	StepPublishRead     Step = "PublishRead"
	StepPublishWrite    Step = "PublishWrite"
	StepPublishReadBack Step = "PublishReadBack"
	StepPublishConfirm  Step = "PublishConfirm"
	StepMovingShares    Step = "MovingShares"
	StepDrain           Step = "Drain"
	StepStop            Step = "Stop"
)

// Steps returns all steps in order.
func Steps() []Step {
	return []Step{
		StepStartUp, StepAuthentication, StepAdmission, StepQueueing, StepBeforeSend, StepAfterSend,
		StepBeforeAnswer, StepAfterAnswer, StepInTransaction, StepCommit, StepPromotion, StepPublishRead,
		StepPublishWrite, StepPublishReadBack, StepPublishConfirm, StepMovingShares, StepDrain, StepStop,
	}
}

// Guarantee is the number of a promise in section 1.2 of the design page.
type Guarantee int

// Cell is one fault at one step.
type Cell struct {
	// Empty says why no test brings the cell about.
	NoTestReason string
	Fault        Fault
	// Must says what must happen.
	Expected  string
	Guarantee Guarantee
	Step      Step
	// Test is "package.TestName" of the test that brings the cell about.
	Test string
}

// Pair is two faults at once, at any step.
type Pair struct {
	NoTestReason string
	First        Fault
	Expected     string
	Guarantee    Guarantee
	Second       Fault
	Test         string
}

// IsImpossible reports whether the fault cannot occur at the step.
func (c Cell) IsImpossible() bool {
	return c.Test == "" && strings.HasPrefix(c.NoTestReason, impossiblePrefix)
}

// impossiblePrefix starts the reason of cells that cannot occur.
const impossiblePrefix = "Cannot occur: "
