// Package faultmatrix lists the expected behaviour for each fault at each step of
// a request, a promotion, a publication or the life of an instance, together with
// the test that checks it. The page docs/fault-matrix.md is generated from the list.
package faultmatrix

import "strings"

// Fault is a kind of failure from section 1.5 of docs/design.md.
type Fault string

// Faults in the order of docs/design.md.
const (
	// FaultPrimaryCutOff is a partition between the primary and its replicas.
	FaultPrimaryCutOff Fault = "PrimaryCutOff"
	// FaultPrimaryCrash is a crash of the primary, which closes its connections.
	FaultPrimaryCrash Fault = "PrimaryCrash"
	// FaultReplicaLags is a replica that receives log entries but does not apply them.
	FaultReplicaLags Fault = "ReplicaLags"
	// FaultInstanceDies is an instance that is killed without draining.
	FaultInstanceDies Fault = "InstanceDies"
	// FaultKeyWithdrawn removes the key of a connected caller from the sheet.
	FaultKeyWithdrawn Fault = "KeyWithdrawn"
	// FaultStoreDown is a store, the platform's table service, that fails each call.
	FaultStoreDown Fault = "StoreDown"
	// FaultStoreSlow is a store that responds late or only after the timeout.
	FaultStoreSlow Fault = "StoreSlow"
	// FaultStoreAnswerLost is a write to the store that takes effect but whose
	// response is lost.
	FaultStoreAnswerLost Fault = "StoreAnswerLost"
	// FaultLeaseLapses is the expiry of the validity lease of an instance that is
	// paused, or cut off from the store and its peers.
	FaultLeaseLapses Fault = "LeaseLapses"
	// FaultOperatorsRace is two operators that publish a sheet on the same base
	// version at the same time.
	FaultOperatorsRace Fault = "OperatorsRace"
)

// Faults returns all faults in the order of docs/design.md.
func Faults() []Fault {
	return []Fault{
		FaultPrimaryCutOff, FaultPrimaryCrash, FaultReplicaLags, FaultInstanceDies, FaultKeyWithdrawn,
		FaultStoreDown, FaultStoreSlow, FaultStoreAnswerLost, FaultLeaseLapses, FaultOperatorsRace,
	}
}

// Step is a point in the processing of a request, a promotion or a publication, or
// in the life of an instance, at which a fault can occur.
type Step string

// Steps in the order in which an instance and a request go through them.
const (
	// StepStartUp is the start of an instance.
	StepStartUp Step = "StartUp"
	// StepAuthentication is the authentication of a new session.
	StepAuthentication Step = "Authentication"
	// StepAdmission is the check of a request against the limits of its workspace.
	StepAdmission Step = "Admission"
	// StepQueueing is the wait of a request for a connection to a backend server.
	StepQueueing Step = "Queueing"
	// StepBeforeSend is the time before a request is sent to a backend server.
	StepBeforeSend Step = "BeforeSend"
	// StepAfterSend is the time after a statement was sent to a backend server and
	// before it takes effect.
	StepAfterSend Step = "AfterSend"
	// StepBeforeAnswer is the time after a write took effect on the primary and before
	// it is acknowledged, because no majority is known to have received it.
	StepBeforeAnswer Step = "BeforeAnswer"
	// StepAfterAnswer is the time after the response was sent to the caller.
	StepAfterAnswer Step = "AfterAnswer"
	// StepInTransaction is the time during which a transaction is open.
	StepInTransaction Step = "InTransaction"
	// StepCommit is StepBeforeAnswer for the commit of a transaction.
	StepCommit Step = "Commit"
	// StepPromotion is the promotion of a replica to primary.
	StepPromotion Step = "Promotion"
	// StepPublishRead is the read of the newest sheet version by a publication.
	StepPublishRead Step = "PublishRead"
	// StepPublishWrite is the conditional write of the new version to the store.
	StepPublishWrite Step = "PublishWrite"
	// StepPublishReadBack is the read which finds out whether a write without a
	// response took effect.
	StepPublishReadBack Step = "PublishReadBack"
	// StepPublishConfirm is the wait until a majority of the instances holds the new
	// version.
	StepPublishConfirm Step = "PublishConfirm"
	// StepMovingShares is the transfer of shares of the limits between instances.
	StepMovingShares Step = "MovingShares"
	// StepDrain is the drain of a data centre or an instance.
	StepDrain Step = "Drain"
	// StepStop is the planned stop of an instance.
	StepStop Step = "Stop"
)

// Steps returns all steps in order.
func Steps() []Step {
	return []Step{
		StepStartUp, StepAuthentication, StepAdmission, StepQueueing, StepBeforeSend, StepAfterSend,
		StepBeforeAnswer, StepAfterAnswer, StepInTransaction, StepCommit, StepPromotion, StepPublishRead,
		StepPublishWrite, StepPublishReadBack, StepPublishConfirm, StepMovingShares, StepDrain, StepStop,
	}
}

// Guarantee is the number of a guarantee in section 1.2 of docs/design.md.
type Guarantee int

// Cell describes one fault at one step.
type Cell struct {
	// NoTestReason says why no test covers the cell. It is empty if Test is set.
	NoTestReason string
	Fault        Fault
	// Expected describes the expected behaviour. It is not empty if Test is set.
	Expected  string
	Guarantee Guarantee
	Step      Step
	// Test is "package.TestName" of the test that covers the cell, or empty.
	Test string
}

// Pair describes two faults at the same time, at any step. Its fields have the same
// meaning as those of Cell.
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

// impossiblePrefix starts the NoTestReason of cells whose fault cannot occur at the
// step.
const impossiblePrefix = "Cannot occur: "
