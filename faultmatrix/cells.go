package faultmatrix

// Tests that bring about many cells.
const (
	testAtEachStep    = "faultmatrix.TestFaultAtEachStep"
	testBeforeAnswer  = "faultmatrix.TestFaultBeforeAnswer"
	testDuringFault   = "faultmatrix.TestServiceDuringFault"
	testEvidence      = "group.TestDecideCommitIsFinal"
	testHistory       = "faultmatrix.TestConsistencyHistory"
	testLedger        = "peer.TestLimitsAndVersionsHold"
	testRacing        = "sheet.TestRacingPublicationsHaveOneWinner"
	testRivals        = "group.TestPromoterRivals"
	testStoreUnderUse = "faultmatrix.TestStoreDownUnderLoad"
)

// Reasons for cells that cannot occur.
const (
	noDatabaseInAdmission = "Cannot occur: admission uses no backend server."
	noDatabaseInPublish   = "Cannot occur: publishing uses no backend server."
	noDatabaseInShares    = "Cannot occur: shares move between instances only."
	noKeyHere             = "Cannot occur: this step checks no key of a caller."
	noStoreWrite          = "Cannot occur: this step writes nothing to the store."
)

// Cells returns the list of all faults at all steps.
func Cells() []Cell {
	var cells []Cell
	for _, part := range []struct {
		cells []Cell
		fault Fault
	}{
		{primaryCutOffCells(), FaultPrimaryCutOff},
		{primaryCrashCells(), FaultPrimaryCrash},
		{replicaLagsCells(), FaultReplicaLags},
		{instanceDiesCells(), FaultInstanceDies},
		{keyWithdrawnCells(), FaultKeyWithdrawn},
		{storeDownCells(), FaultStoreDown},
		{storeSlowCells(), FaultStoreSlow},
		{storeAnswerLostCells(), FaultStoreAnswerLost},
		{leaseLapsesCells(), FaultLeaseLapses},
		{operatorsRaceCells(), FaultOperatorsRace},
	} {
		for _, cell := range part.cells {
			cell.Fault = part.fault
			cells = append(cells, cell)
		}
	}
	return cells
}

func primaryCutOffCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 2, Must: "The new instance follows the primary of the newest term.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 10, Must: "The session starts; its first write is answered truthfully.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Empty: noDatabaseInAdmission},
		{Step: StepQueueing, Promise: 10, Must: "The queued write goes to a primary or is refused as not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 2, Must: "No acknowledgement by the old primary, also next to an instance on its side.", Test: "faultmatrix.TestCutOffPrimaryWithInstance"},
		{Step: StepAfterSend, Promise: 2, Must: "The write is decided by the fork point.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 2, Must: "The write is decided by the fork point or reported as unknown.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The acknowledged write is on the next primary.", Test: testHistory},
		{Step: StepInTransaction, Promise: 3, Must: "The transaction takes effect as a whole or not at all.", Test: testAtEachStep},
		{Step: StepCommit, Promise: 10, Must: "The commit is decided by the fork point or reported as unknown.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "One primary a term; each acknowledged write is on it.", Test: testRivals},
		{Step: StepPublishRead, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishWrite, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishReadBack, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishConfirm, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepMovingShares, Promise: 7, Empty: noDatabaseInShares},
		{Step: StepDrain, Promise: 8, Empty: "No test: a handover whose primary is cut off half-way."},
		{Step: StepStop, Promise: 11, Empty: "No test: a stop while no primary can take the commit. After the failover it is TestServiceDuringFault."},
	}
}

func primaryCrashCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 1, Must: "The new instance finds the promoted primary and serves.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 10, Must: "The session starts; its first write waits for the next primary.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Empty: noDatabaseInAdmission},
		{Step: StepQueueing, Promise: 10, Must: "The queued write goes to the next primary or is refused as not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 10, Must: "The write goes to the next primary.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 10, Must: "The outcome is unknown and the write runs at most once, also when its answer is lost after the effect.", Test: "faultmatrix.TestCommitAnswerLost"},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The acknowledged write is on the next primary.", Test: "instance.TestWritesGoOnAfterPrimaryCrash"},
		{Step: StepInTransaction, Promise: 3, Must: "Nothing of the transaction stays or goes on elsewhere.", Test: "faultmatrix.TestPrimaryCrashInTransaction"},
		{Step: StepCommit, Promise: 10, Must: "The outcome is truthful and the transaction is whole.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "A primary that dies as it is promoted is replaced.", Test: "group.TestControllerChosenDiesAfterPromotion"},
		{Step: StepPublishRead, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishWrite, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishReadBack, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishConfirm, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepMovingShares, Promise: 7, Empty: noDatabaseInShares},
		{Step: StepDrain, Promise: 8, Empty: "No test: a handover whose primary crashes half-way."},
		{Step: StepStop, Promise: 11, Empty: "No test: a stop while the primary is down. After the failover it is TestServiceDuringFault."},
	}
}

func replicaLagsCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 1, Must: "The new instance serves.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 1, Must: "The barrier of the new session sends reads past the lagging replica.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Empty: noDatabaseInAdmission},
		{Step: StepQueueing, Promise: 9, Must: "Writes are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 1, Must: "A read goes to a replica that covers its position, or to the primary.", Test: "group.TestReadCandidatesCoverRequirement"},
		{Step: StepAfterSend, Promise: 9, Must: "Writes are not disturbed: evidence needs receipt only.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Promise: 3, Must: "The transaction is not disturbed.", Test: testAtEachStep},
		{Step: StepCommit, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 1, Must: "The promoted replica first applies what it received.", Test: testDuringFault},
		{Step: StepPublishRead, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishWrite, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishReadBack, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepPublishConfirm, Promise: 12, Empty: noDatabaseInPublish},
		{Step: StepMovingShares, Promise: 7, Empty: noDatabaseInShares},
		{Step: StepDrain, Promise: 8, Empty: "No test: a handover that has to wait for a lagging replica."},
		{Step: StepStop, Promise: 11, Must: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func instanceDiesCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 12, Must: "A restarted instance gets a new epoch and its shares.", Test: "peer.TestRestart"},
		{Step: StepAuthentication, Promise: 10, Must: "The caller is refused and nothing ran.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Must: "Its share is used again only after its lease; no window exceeds the limits.", Test: "faultmatrix.TestRateHoldsWhileInstancesRestart"},
		{Step: StepQueueing, Promise: 10, Must: "The queued write is not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 10, Must: "The write is not run.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 10, Must: "The write runs at most once and its outcome is not called not run.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Promise: 3, Must: "No half booking stays and the next writer can start.", Test: "faultmatrix.TestInstanceKilledInTransaction"},
		{Step: StepCommit, Promise: 3, Must: "The transaction takes effect as a whole or not at all.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "A promoter that restarts half-way leaves no second primary.", Test: testRivals},
		{Step: StepPublishRead, Promise: 12, Must: "Nothing was written; the operator learns an unknown outcome.", Test: "operator.TestErrorsSayWhetherItTookEffect"},
		{Step: StepPublishWrite, Promise: 12, Must: "The operator learns an unknown outcome, and a repeat does not write twice.", Test: testRacing},
		{Step: StepPublishReadBack, Promise: 12, Must: "The operator learns an unknown outcome, and a repeat does not write twice.", Test: testRacing},
		{Step: StepPublishConfirm, Promise: 12, Must: "A valid instance never misses an accepted version.", Test: testLedger},
		{Step: StepMovingShares, Promise: 7, Must: "A transfer to an earlier epoch is not used twice.", Test: testLedger},
		{Step: StepDrain, Promise: 11, Empty: "No test: an instance that dies while it drains."},
		{Step: StepStop, Promise: 11, Must: "Another instance stops by plan without cutting a transaction.", Test: testDuringFault},
	}
}

func keyWithdrawnCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 6, Must: "A new instance accepts the new key only.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 6, Must: "The key is refused with 28P01, also with the store down.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepAdmission, Promise: 6, Must: "An idle session is closed with 57P01.", Test: "caller.TestWithdrawnKey"},
		{Step: StepQueueing, Promise: 10, Must: "An admitted request is answered truthfully.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 6, Must: "The idle session is closed before its next request.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 9, Must: "The running statement gets its answer.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 6, Must: "The open session is closed with 57P01 while the store is down.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepInTransaction, Promise: 6, Must: "The transaction ends, then the session is closed.", Test: "caller.TestWithdrawnKey"},
		{Step: StepCommit, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 6, Must: "The withdrawal stays in force across a failover.", Test: testDuringFault},
		{Step: StepPublishRead, Promise: 6, Empty: noKeyHere},
		{Step: StepPublishWrite, Promise: 6, Empty: noKeyHere},
		{Step: StepPublishReadBack, Promise: 6, Empty: noKeyHere},
		{Step: StepPublishConfirm, Promise: 6, Must: "No valid instance holds an older sheet after acceptance.", Test: testLedger},
		{Step: StepMovingShares, Promise: 7, Empty: noKeyHere},
		{Step: StepDrain, Promise: 6, Empty: "No test: a key withdrawn while an instance drains."},
		{Step: StepStop, Promise: 11, Must: "A stop after the withdrawal cuts no transaction.", Test: testDuringFault},
	}
}

func storeDownCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 12, Must: "The new instance serves as a guest with what its peers hold.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 6, Must: "Sessions start; withdrawn keys stay refused.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Must: "Requests go on for longer than the lease, and limits hold.", Test: testStoreUnderUse},
		{Step: StepQueueing, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Promise: 9, Must: "The transaction is not disturbed.", Test: testStoreUnderUse},
		{Step: StepCommit, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "The failover needs no store.", Test: testDuringFault},
		{Step: StepPublishRead, Promise: 12, Must: "The publication fails with a clear error and changes nothing.", Test: "faultmatrix.TestPublishWhileStoreFails"},
		{Step: StepPublishWrite, Promise: 12, Must: "The attempt is settled by reading back, or reported as unknown.", Test: testRacing},
		{Step: StepPublishReadBack, Promise: 12, Must: "The outcome is unknown when it cannot be read back.", Empty: "No test: an outage that begins between the write and the read."},
		{Step: StepPublishConfirm, Promise: 6, Must: "The new version reaches all instances through their peers.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepMovingShares, Promise: 7, Must: "Shares go on moving and their sums stay.", Test: "peer.TestStoreOutage"},
		{Step: StepDrain, Promise: 8, Must: "The drain fails with a clear error and changes nothing.", Test: "faultmatrix.TestPublishWhileStoreFails"},
		{Step: StepStop, Promise: 11, Must: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func storeSlowCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 12, Must: "The new instance serves.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 9, Must: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Must: "Requests go on while calls hang for longer than the lease.", Test: testStoreUnderUse},
		{Step: StepQueueing, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Promise: 9, Must: "The transaction is not disturbed.", Test: testStoreUnderUse},
		{Step: StepCommit, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "The failover needs no store.", Test: testDuringFault},
		{Step: StepPublishRead, Promise: 12, Empty: "No test: a publication with a slow store on a whole deployment."},
		{Step: StepPublishWrite, Promise: 12, Must: "A write that takes effect late is settled by its publication id.", Test: testRacing},
		{Step: StepPublishReadBack, Promise: 12, Empty: "No test: a read back that is slow."},
		{Step: StepPublishConfirm, Promise: 12, Must: "The lease counts from before the request.", Test: "peer.TestSlowStore"},
		{Step: StepMovingShares, Promise: 7, Must: "The sums of shares stay.", Test: "peer.TestSlowStore"},
		{Step: StepDrain, Promise: 8, Empty: "No test: a drain is a publication; see there."},
		{Step: StepStop, Promise: 11, Must: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func storeAnswerLostCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 12, Must: "A roster write that took effect is not missed.", Test: "peer.TestLostAnswer"},
		{Step: StepAuthentication, Promise: 9, Must: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Empty: noStoreWrite},
		{Step: StepQueueing, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Promise: 9, Must: "The transaction is not disturbed.", Test: testAtEachStep},
		{Step: StepCommit, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "The failover needs no store.", Test: testDuringFault},
		{Step: StepPublishRead, Promise: 12, Empty: noStoreWrite},
		{Step: StepPublishWrite, Promise: 12, Must: "The publication is accepted and takes effect once.", Test: "faultmatrix.TestPublishAnswerLost"},
		{Step: StepPublishReadBack, Promise: 12, Empty: noStoreWrite},
		{Step: StepPublishConfirm, Promise: 12, Empty: noStoreWrite},
		{Step: StepMovingShares, Promise: 7, Must: "The sums of shares stay when a roster write has no answer.", Test: "peer.TestLostAnswer"},
		{Step: StepDrain, Promise: 8, Empty: "No test: a drain is a publication; see there."},
		{Step: StepStop, Promise: 11, Must: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func leaseLapsesCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 12, Must: "A new instance serves beside the one that lapsed.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 6, Must: "The session is refused as not run.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Must: "A paused or cut-off member admits nothing.", Test: "peer.TestPausedMember"},
		{Step: StepQueueing, Promise: 10, Must: "An admitted request is answered truthfully.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 6, Must: "The request is refused as not run.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 10, Must: "The running statement is answered truthfully.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 2, Must: "The evidence of a majority decides, not the lease.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Promise: 11, Must: "The running transaction may finish.", Test: testAtEachStep},
		{Step: StepCommit, Promise: 2, Must: "The evidence of a majority decides, not the lease.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "A promoter paused half-way finds that the promise moved on.", Test: testRivals},
		{Step: StepPublishRead, Promise: 12, Must: "The conditional write refuses an old version.", Test: testRacing},
		{Step: StepPublishWrite, Promise: 12, Must: "The conditional write refuses an old version.", Test: testRacing},
		{Step: StepPublishReadBack, Promise: 12, Empty: "No test: an instance paused between the write and the read."},
		{Step: StepPublishConfirm, Promise: 12, Must: "A valid instance never misses an accepted version.", Test: testLedger},
		{Step: StepMovingShares, Promise: 7, Must: "Shares of a lapsed member are used only after its lease.", Test: testLedger},
		{Step: StepDrain, Promise: 11, Empty: "No test: an instance whose lease lapses while it drains."},
		{Step: StepStop, Promise: 11, Must: "Another instance stops by plan without cutting a transaction.", Test: testDuringFault},
	}
}

func operatorsRaceCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Promise: 12, Must: "The new instance holds the winner's version.", Test: testDuringFault},
		{Step: StepAuthentication, Promise: 9, Must: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Promise: 7, Must: "Limits hold while versions replace each other.", Test: testLedger},
		{Step: StepQueueing, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Promise: 9, Must: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Promise: 1, Must: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Promise: 9, Must: "The transaction is not disturbed.", Test: testAtEachStep},
		{Step: StepCommit, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Promise: 2, Must: "The failover goes on.", Test: testDuringFault},
		{Step: StepPublishRead, Promise: 12, Must: "One wins and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
		{Step: StepPublishWrite, Promise: 12, Must: "One wins and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
		{Step: StepPublishReadBack, Promise: 12, Must: "One wins and the other gets a conflict, also with lost answers.", Test: testRacing},
		{Step: StepPublishConfirm, Promise: 12, Must: "The winner's version is accepted and never reverts.", Test: testLedger},
		{Step: StepMovingShares, Promise: 7, Must: "Transfers across versions keep the limits.", Test: testLedger},
		{Step: StepDrain, Promise: 12, Must: "A drain keeps what the other operator published.", Test: "operator.TestDrainKeepsRacingPublication"},
		{Step: StepStop, Promise: 11, Must: "The stop cuts no transaction.", Test: testDuringFault},
	}
}
