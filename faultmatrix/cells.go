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
		{Step: StepStartUp, Guarantee: 2, Expected: "The new instance follows the primary of the newest term.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 10, Expected: "The session starts; its first write is answered truthfully.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noDatabaseInAdmission},
		{Step: StepQueueing, Guarantee: 10, Expected: "The queued write goes to a primary or is refused as not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 2, Expected: "No acknowledgement by the old primary, also next to an instance on its side.", Test: "faultmatrix.TestCutOffPrimaryWithInstance"},
		{Step: StepAfterSend, Guarantee: 2, Expected: "The write is decided by the fork point.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 2, Expected: "The write is decided by the fork point or reported as unknown.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The acknowledged write is on the next primary.", Test: testHistory},
		{Step: StepInTransaction, Guarantee: 3, Expected: "The transaction takes effect as a whole or not at all.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The commit is decided by the fork point or reported as unknown.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "One primary a term; each acknowledged write is on it.", Test: testRivals},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishWrite, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noDatabaseInShares},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a handover whose primary is cut off half-way."},
		{Step: StepStop, Guarantee: 11, NoTestReason: "No test: a stop while no primary can take the commit. After the failover it is TestServiceDuringFault."},
	}
}

func primaryCrashCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 1, Expected: "The new instance finds the promoted primary and serves.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 10, Expected: "The session starts; its first write waits for the next primary.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noDatabaseInAdmission},
		{Step: StepQueueing, Guarantee: 10, Expected: "The queued write goes to the next primary or is refused as not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 10, Expected: "The write goes to the next primary.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 10, Expected: "The outcome is unknown and the write runs at most once, also when its answer is lost after the effect.", Test: "faultmatrix.TestCommitAnswerLost"},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The acknowledged write is on the next primary.", Test: "instance.TestWritesGoOnAfterPrimaryCrash"},
		{Step: StepInTransaction, Guarantee: 3, Expected: "Nothing of the transaction stays or goes on elsewhere.", Test: "faultmatrix.TestPrimaryCrashInTransaction"},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome is truthful and the transaction is whole.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "A primary that dies as it is promoted is replaced.", Test: "group.TestControllerChosenDiesAfterPromotion"},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishWrite, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noDatabaseInShares},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a handover whose primary crashes half-way."},
		{Step: StepStop, Guarantee: 11, NoTestReason: "No test: a stop while the primary is down. After the failover it is TestServiceDuringFault."},
	}
}

func replicaLagsCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 1, Expected: "The new instance serves.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 1, Expected: "The barrier of the new session sends reads past the lagging replica.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noDatabaseInAdmission},
		{Step: StepQueueing, Guarantee: 9, Expected: "Writes are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 1, Expected: "A read goes to a replica that covers its position, or to the primary.", Test: "group.TestReadCandidatesCoverRequirement"},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Writes are not disturbed: evidence needs receipt only.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 3, Expected: "The transaction is not disturbed.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 1, Expected: "The promoted replica first applies what it received.", Test: testDuringFault},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishWrite, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noDatabaseInPublish},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noDatabaseInShares},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a handover that has to wait for a lagging replica."},
		{Step: StepStop, Guarantee: 11, Expected: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func instanceDiesCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "A restarted instance gets a new epoch and its shares.", Test: "peer.TestRestart"},
		{Step: StepAuthentication, Guarantee: 10, Expected: "The caller is refused and nothing ran.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "Its share is used again only after its lease; no window exceeds the limits.", Test: "faultmatrix.TestRateHoldsWhileInstancesRestart"},
		{Step: StepQueueing, Guarantee: 10, Expected: "The queued write is not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 10, Expected: "The write is not run.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 10, Expected: "The write runs at most once and its outcome is not called not run.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 3, Expected: "No half booking stays and the next writer can start.", Test: "faultmatrix.TestInstanceKilledInTransaction"},
		{Step: StepCommit, Guarantee: 3, Expected: "The transaction takes effect as a whole or not at all.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "A promoter that restarts half-way leaves no second primary.", Test: testRivals},
		{Step: StepPublishRead, Guarantee: 12, Expected: "Nothing was written; the operator learns an unknown outcome.", Test: "operator.TestErrorsSayWhetherItTookEffect"},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The operator learns an unknown outcome, and a repeat does not write twice.", Test: testRacing},
		{Step: StepPublishReadBack, Guarantee: 12, Expected: "The operator learns an unknown outcome, and a repeat does not write twice.", Test: testRacing},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "A valid instance never misses an accepted version.", Test: testLedger},
		{Step: StepMovingShares, Guarantee: 7, Expected: "A transfer to an earlier epoch is not used twice.", Test: testLedger},
		{Step: StepDrain, Guarantee: 11, NoTestReason: "No test: an instance that dies while it drains."},
		{Step: StepStop, Guarantee: 11, Expected: "Another instance stops by plan without cutting a transaction.", Test: testDuringFault},
	}
}

func keyWithdrawnCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 6, Expected: "A new instance accepts the new key only.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 6, Expected: "The key is refused with 28P01, also with the store down.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepAdmission, Guarantee: 6, Expected: "An idle session is closed with 57P01.", Test: "caller.TestWithdrawnKey"},
		{Step: StepQueueing, Guarantee: 10, Expected: "An admitted request is answered truthfully.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 6, Expected: "The idle session is closed before its next request.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "The running statement gets its answer.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 6, Expected: "The open session is closed with 57P01 while the store is down.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepInTransaction, Guarantee: 6, Expected: "The transaction ends, then the session is closed.", Test: "caller.TestWithdrawnKey"},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 6, Expected: "The withdrawal stays in force across a failover.", Test: testDuringFault},
		{Step: StepPublishRead, Guarantee: 6, NoTestReason: noKeyHere},
		{Step: StepPublishWrite, Guarantee: 6, NoTestReason: noKeyHere},
		{Step: StepPublishReadBack, Guarantee: 6, NoTestReason: noKeyHere},
		{Step: StepPublishConfirm, Guarantee: 6, Expected: "No valid instance holds an older sheet after acceptance.", Test: testLedger},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noKeyHere},
		{Step: StepDrain, Guarantee: 6, NoTestReason: "No test: a key withdrawn while an instance drains."},
		{Step: StepStop, Guarantee: 11, Expected: "A stop after the withdrawal cuts no transaction.", Test: testDuringFault},
	}
}

func storeDownCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "The new instance serves as a guest with what its peers hold.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 6, Expected: "Sessions start; withdrawn keys stay refused.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "Requests go on for longer than the lease, and limits hold.", Test: testStoreUnderUse},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not disturbed.", Test: testStoreUnderUse},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover needs no store.", Test: testDuringFault},
		{Step: StepPublishRead, Guarantee: 12, Expected: "The publication fails with a clear error and changes nothing.", Test: "faultmatrix.TestPublishWhileStoreFails"},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The attempt is settled by reading back, or reported as unknown.", Test: testRacing},
		{Step: StepPublishReadBack, Guarantee: 12, Expected: "The outcome is unknown when it cannot be read back.", NoTestReason: "No test: an outage that begins between the write and the read."},
		{Step: StepPublishConfirm, Guarantee: 6, Expected: "The new version reaches all instances through their peers.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepMovingShares, Guarantee: 7, Expected: "Shares go on moving and their sums stay.", Test: "peer.TestStoreOutage"},
		{Step: StepDrain, Guarantee: 8, Expected: "The drain fails with a clear error and changes nothing.", Test: "faultmatrix.TestPublishWhileStoreFails"},
		{Step: StepStop, Guarantee: 11, Expected: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func storeSlowCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "The new instance serves.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 9, Expected: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "Requests go on while calls hang for longer than the lease.", Test: testStoreUnderUse},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not disturbed.", Test: testStoreUnderUse},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover needs no store.", Test: testDuringFault},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: "No test: a publication with a slow store on a whole deployment."},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "A write that takes effect late is settled by its publication id.", Test: testRacing},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: "No test: a read back that is slow."},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "The lease counts from before the request.", Test: "peer.TestSlowStore"},
		{Step: StepMovingShares, Guarantee: 7, Expected: "The sums of shares stay.", Test: "peer.TestSlowStore"},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a drain is a publication; see there."},
		{Step: StepStop, Guarantee: 11, Expected: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func storeAnswerLostCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "A roster write that took effect is not missed.", Test: "peer.TestLostAnswer"},
		{Step: StepAuthentication, Guarantee: 9, Expected: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noStoreWrite},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not disturbed.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover needs no store.", Test: testDuringFault},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noStoreWrite},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The publication is accepted and takes effect once.", Test: "faultmatrix.TestPublishAnswerLost"},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noStoreWrite},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noStoreWrite},
		{Step: StepMovingShares, Guarantee: 7, Expected: "The sums of shares stay when a roster write has no answer.", Test: "peer.TestLostAnswer"},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a drain is a publication; see there."},
		{Step: StepStop, Guarantee: 11, Expected: "The stop cuts no transaction.", Test: testDuringFault},
	}
}

func leaseLapsesCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "A new instance serves beside the one that lapsed.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 6, Expected: "The session is refused as not run.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "A paused or cut-off member admits nothing.", Test: "peer.TestPausedMember"},
		{Step: StepQueueing, Guarantee: 10, Expected: "An admitted request is answered truthfully.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 6, Expected: "The request is refused as not run.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 10, Expected: "The running statement is answered truthfully.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 2, Expected: "The evidence of a majority decides, not the lease.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 11, Expected: "The running transaction may finish.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 2, Expected: "The evidence of a majority decides, not the lease.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "A promoter paused half-way finds that the promise moved on.", Test: testRivals},
		{Step: StepPublishRead, Guarantee: 12, Expected: "The conditional write refuses an old version.", Test: testRacing},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The conditional write refuses an old version.", Test: testRacing},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: "No test: an instance paused between the write and the read."},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "A valid instance never misses an accepted version.", Test: testLedger},
		{Step: StepMovingShares, Guarantee: 7, Expected: "Shares of a lapsed member are used only after its lease.", Test: testLedger},
		{Step: StepDrain, Guarantee: 11, NoTestReason: "No test: an instance whose lease lapses while it drains."},
		{Step: StepStop, Guarantee: 11, Expected: "Another instance stops by plan without cutting a transaction.", Test: testDuringFault},
	}
}

func operatorsRaceCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "The new instance holds the winner's version.", Test: testDuringFault},
		{Step: StepAuthentication, Guarantee: 9, Expected: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "Limits hold while versions replace each other.", Test: testLedger},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not disturbed.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The write is read through another instance.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not disturbed.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover goes on.", Test: testDuringFault},
		{Step: StepPublishRead, Guarantee: 12, Expected: "One wins and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "One wins and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
		{Step: StepPublishReadBack, Guarantee: 12, Expected: "One wins and the other gets a conflict, also with lost answers.", Test: testRacing},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "The winner's version is accepted and never reverts.", Test: testLedger},
		{Step: StepMovingShares, Guarantee: 7, Expected: "Transfers across versions keep the limits.", Test: testLedger},
		{Step: StepDrain, Guarantee: 12, Expected: "A drain keeps what the other operator published.", Test: "operator.TestDrainKeepsRacingPublication"},
		{Step: StepStop, Guarantee: 11, Expected: "The stop cuts no transaction.", Test: testDuringFault},
	}
}
