package faultmatrix

// Tests that cover several cells.
const (
	testAtEachStep         = "faultmatrix.TestFaultAtEachStep"
	testBeforeAnswer       = "faultmatrix.TestFaultBeforeAnswer"
	testServiceDuringFault = "faultmatrix.TestServiceDuringFault"
	testDecideCommit       = "group.TestDecideCommitIsFinal"
	testConsistencyHistory = "faultmatrix.TestConsistencyHistory"
	testLimitsAndVersions  = "peer.TestLimitsAndVersionsHold"
	testRacingPublications = "sheet.TestRacingPublicationsHaveOneWinner"
	testPromoterRivals     = "group.TestPromoterRivals"
	testStoreDownUnderLoad = "faultmatrix.TestStoreDownUnderLoad"
)

// Reasons why the fault of a cell cannot occur at its step. Each starts with
// impossiblePrefix.
const (
	noServerInAdmission     = "Cannot occur: admission uses no backend server."
	noServerInPublication   = "Cannot occur: publishing uses no backend server."
	noServerInShareTransfer = "Cannot occur: shares are transferred only between instances."
	noKeyCheck              = "Cannot occur: this step does not check a caller's key."
	noStoreWrite            = "Cannot occur: this step writes nothing to the store."
)

// Cells returns one cell for each fault at each step, in the order of Faults and
// Steps.
func Cells() []Cell {
	var cells []Cell
	for _, row := range []struct {
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
		for _, cell := range row.cells {
			cell.Fault = row.fault
			cells = append(cells, cell)
		}
	}
	return cells
}

func primaryCutOffCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 2, Expected: "The new instance uses the primary of the newest term.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 10, Expected: "The session starts, and the outcome reported for its first write is correct.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noServerInAdmission},
		{Step: StepQueueing, Guarantee: 10, Expected: "The queued write is sent to a primary, or is refused and reported as not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 2, Expected: "No write on the old primary is acknowledged, not even through an instance on its side of the partition.", Test: "faultmatrix.TestCutOffPrimaryWithInstance"},
		{Step: StepAfterSend, Guarantee: 2, Expected: "The outcome depends on whether the log of the next primary contains the write.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 2, Expected: "The outcome depends on whether the log of the next primary contains the write, or is reported as unknown.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The next primary has the acknowledged write.", Test: testConsistencyHistory},
		{Step: StepInTransaction, Guarantee: 3, Expected: "The transaction takes effect completely or not at all.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The outcome depends on whether the log of the next primary contains the commit, or is reported as unknown.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "Each term has at most one primary, and it has every acknowledged write.", Test: testPromoterRivals},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishWrite, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noServerInShareTransfer},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: the primary is cut off while it hands over to another server."},
		{Step: StepStop, Guarantee: 11, NoTestReason: "No test: an instance stops while no primary accepts the commit. TestServiceDuringFault covers a stop after the failover."},
	}
}

func primaryCrashCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 1, Expected: "The new instance finds the promoted primary and serves requests.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 10, Expected: "The session starts, and its first write waits for the next primary.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noServerInAdmission},
		{Step: StepQueueing, Guarantee: 10, Expected: "The queued write is sent to the next primary, or is refused and reported as not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 10, Expected: "The write is sent to the next primary.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 10, Expected: "The outcome is unknown and the write runs at most once, even if its response is lost after it took effect.", Test: "faultmatrix.TestCommitAnswerLost"},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "The next primary has the acknowledged write.", Test: "instance.TestWritesGoOnAfterPrimaryCrash"},
		{Step: StepInTransaction, Guarantee: 3, Expected: "The transaction has no effect and is not continued on another server.", Test: "faultmatrix.TestPrimaryCrashInTransaction"},
		{Step: StepCommit, Guarantee: 10, Expected: "The reported outcome is correct, and the transaction takes effect completely or not at all.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "A server that fails while it is promoted is replaced.", Test: "group.TestControllerChosenDiesAfterPromotion"},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishWrite, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noServerInShareTransfer},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: the primary crashes while it hands over to another server."},
		{Step: StepStop, Guarantee: 11, NoTestReason: "No test: an instance stops while the primary is down. TestServiceDuringFault covers a stop after the failover."},
	}
}

func replicaLagsCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 1, Expected: "The new instance serves requests.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 1, Expected: "The read barrier of the new session keeps its reads away from the lagging replica.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noServerInAdmission},
		{Step: StepQueueing, Guarantee: 9, Expected: "Writes are not affected.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 1, Expected: "A read is sent to a replica that has applied the log position it requires, or to the primary.", Test: "group.TestReadCandidatesCoverRequirement"},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Writes are not affected, because a write is committed once a majority has received it; they need not have applied it.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "A read through another instance returns the write.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 3, Expected: "The transaction is not affected.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 1, Expected: "The promoted replica first applies all log entries that it has received.", Test: testServiceDuringFault},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishWrite, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noServerInPublication},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noServerInShareTransfer},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a handover to another server that has to wait for a lagging replica."},
		{Step: StepStop, Guarantee: 11, Expected: "The stop aborts no transaction.", Test: testServiceDuringFault},
	}
}

func instanceDiesCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "A restarted instance gets a new epoch and shares of the limits.", Test: "peer.TestRestart"},
		{Step: StepAuthentication, Guarantee: 10, Expected: "The connection is refused and nothing is run.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "Other instances use its shares only after its lease has expired, and no time window exceeds the limits.", Test: "faultmatrix.TestRateHoldsWhileInstancesRestart"},
		{Step: StepQueueing, Guarantee: 10, Expected: "The queued write is not run.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 10, Expected: "The write is not run.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 10, Expected: "The write runs at most once and is not reported as not run.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "A read through another instance returns the write.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 3, Expected: "The incomplete transaction is rolled back, and the next writer can start.", Test: "faultmatrix.TestInstanceKilledInTransaction"},
		{Step: StepCommit, Guarantee: 3, Expected: "The transaction takes effect completely or not at all.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "An instance that restarts during a promotion does not cause a second primary.", Test: testPromoterRivals},
		{Step: StepPublishRead, Guarantee: 12, Expected: "Nothing is written, and the outcome is reported as unknown.", Test: "operator.TestErrorsSayWhetherItTookEffect"},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The outcome is reported as unknown, and a retry does not write a second version.", Test: testRacingPublications},
		{Step: StepPublishReadBack, Guarantee: 12, Expected: "The outcome is reported as unknown, and a retry does not write a second version.", Test: testRacingPublications},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "No instance with a valid lease lacks the newest accepted version.", Test: testLimitsAndVersions},
		{Step: StepMovingShares, Guarantee: 7, Expected: "Shares that were transferred to an earlier epoch are not used twice.", Test: testLimitsAndVersions},
		{Step: StepDrain, Guarantee: 11, NoTestReason: "No test: an instance that dies while it drains."},
		{Step: StepStop, Guarantee: 11, Expected: "A planned stop of another instance aborts no transaction.", Test: testServiceDuringFault},
	}
}

func keyWithdrawnCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 6, Expected: "A new instance accepts only the new key.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 6, Expected: "The key is refused with 28P01, even while the store is down.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepAdmission, Guarantee: 6, Expected: "An idle session is closed with 57P01.", Test: "caller.TestWithdrawnKey"},
		{Step: StepQueueing, Guarantee: 10, Expected: "The outcome reported for an admitted request is correct.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 6, Expected: "The idle session is closed before its next request.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "The running statement gets its response.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 6, Expected: "The open session is closed with 57P01, even while the store is down.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepInTransaction, Guarantee: 6, Expected: "The session is closed when its transaction ends.", Test: "caller.TestWithdrawnKey"},
		{Step: StepCommit, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 6, Expected: "The key stays withdrawn across a failover.", Test: testServiceDuringFault},
		{Step: StepPublishRead, Guarantee: 6, NoTestReason: noKeyCheck},
		{Step: StepPublishWrite, Guarantee: 6, NoTestReason: noKeyCheck},
		{Step: StepPublishReadBack, Guarantee: 6, NoTestReason: noKeyCheck},
		{Step: StepPublishConfirm, Guarantee: 6, Expected: "Once the new sheet is accepted, no instance with a valid lease holds an older one.", Test: testLimitsAndVersions},
		{Step: StepMovingShares, Guarantee: 7, NoTestReason: noKeyCheck},
		{Step: StepDrain, Guarantee: 6, NoTestReason: "No test: a key is withdrawn while an instance drains."},
		{Step: StepStop, Guarantee: 11, Expected: "A stop after the withdrawal aborts no transaction.", Test: testServiceDuringFault},
	}
}

func storeDownCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "The new instance serves requests outside the roster, with the state that its peers hold.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 6, Expected: "Sessions start, and withdrawn keys are still refused.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "Requests are served for longer than the lease lasts, and the limits hold.", Test: testStoreDownUnderLoad},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "A read through another instance returns the write.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not affected.", Test: testStoreDownUnderLoad},
		{Step: StepCommit, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover does not need the store.", Test: testServiceDuringFault},
		{Step: StepPublishRead, Guarantee: 12, Expected: "The publication fails with a clear error and changes nothing.", Test: "faultmatrix.TestPublishWhileStoreFails"},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The outcome is determined by reading the row back, or reported as unknown.", Test: testRacingPublications},
		{Step: StepPublishReadBack, Guarantee: 12, Expected: "The outcome is reported as unknown if the row cannot be read back.", NoTestReason: "No test: an outage that begins between the write and reading back."},
		{Step: StepPublishConfirm, Guarantee: 6, Expected: "The new version reaches all instances through their peers.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{Step: StepMovingShares, Guarantee: 7, Expected: "Instances still transfer shares, and the sums of the shares stay constant.", Test: "peer.TestStoreOutage"},
		{Step: StepDrain, Guarantee: 8, Expected: "The drain fails with a clear error and changes nothing.", Test: "faultmatrix.TestPublishWhileStoreFails"},
		{Step: StepStop, Guarantee: 11, Expected: "The stop aborts no transaction.", Test: testServiceDuringFault},
	}
}

func storeSlowCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "The new instance serves requests.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 9, Expected: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "Requests are served while calls to the store hang for longer than the lease lasts.", Test: testStoreDownUnderLoad},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "A read through another instance returns the write.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not affected.", Test: testStoreDownUnderLoad},
		{Step: StepCommit, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover does not need the store.", Test: testServiceDuringFault},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: "No test: a publication with a slow store in a whole deployment."},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "A write that takes effect late is recognised by its publication ID.", Test: testRacingPublications},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: "No test: a slow read of the written row."},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "The lease starts when the request is sent, not when the response arrives.", Test: "peer.TestSlowStore"},
		{Step: StepMovingShares, Guarantee: 7, Expected: "The sums of the shares stay constant.", Test: "peer.TestSlowStore"},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a drain is a publication; see the Publish steps."},
		{Step: StepStop, Guarantee: 11, Expected: "The stop aborts no transaction.", Test: testServiceDuringFault},
	}
}

func storeAnswerLostCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "A roster whose write took effect is used even if the response was lost.", Test: "peer.TestLostAnswer"},
		{Step: StepAuthentication, Guarantee: 9, Expected: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, NoTestReason: noStoreWrite},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "A read through another instance returns the write.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not affected.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover does not need the store.", Test: testServiceDuringFault},
		{Step: StepPublishRead, Guarantee: 12, NoTestReason: noStoreWrite},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The publication is accepted and takes effect once.", Test: "faultmatrix.TestPublishAnswerLost"},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: noStoreWrite},
		{Step: StepPublishConfirm, Guarantee: 12, NoTestReason: noStoreWrite},
		{Step: StepMovingShares, Guarantee: 7, Expected: "The sums of the shares stay constant if the response to a roster write is lost.", Test: "peer.TestLostAnswer"},
		{Step: StepDrain, Guarantee: 8, NoTestReason: "No test: a drain is a publication; see the Publish steps."},
		{Step: StepStop, Guarantee: 11, Expected: "The stop aborts no transaction.", Test: testServiceDuringFault},
	}
}

func leaseLapsesCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "A new instance serves requests while the lease of another one has expired.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 6, Expected: "The session is refused and reported as not run.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "An instance that is paused or cut off admits no request.", Test: "peer.TestPausedMember"},
		{Step: StepQueueing, Guarantee: 10, Expected: "The outcome reported for an admitted request is correct.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 6, Expected: "The request is refused and reported as not run.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 10, Expected: "The outcome reported for the running statement is correct.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 2, Expected: "The outcome depends on what a majority of the servers received, not on the lease.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "A read through another instance returns the write.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 11, Expected: "The running transaction may finish.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 2, Expected: "The outcome depends on what a majority of the servers received, not on the lease.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "An instance that is paused during a promotion finds that the servers have promised a later term.", Test: testPromoterRivals},
		{Step: StepPublishRead, Guarantee: 12, Expected: "The conditional write fails if the base version is outdated.", Test: testRacingPublications},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "The conditional write fails if the base version is outdated.", Test: testRacingPublications},
		{Step: StepPublishReadBack, Guarantee: 12, NoTestReason: "No test: an instance that is paused between the write and reading back."},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "No instance with a valid lease lacks the newest accepted version.", Test: testLimitsAndVersions},
		{Step: StepMovingShares, Guarantee: 7, Expected: "Other instances use the shares of an instance only after its lease has expired.", Test: testLimitsAndVersions},
		{Step: StepDrain, Guarantee: 11, NoTestReason: "No test: an instance whose lease expires while it drains."},
		{Step: StepStop, Guarantee: 11, Expected: "A planned stop of another instance aborts no transaction.", Test: testServiceDuringFault},
	}
}

func operatorsRaceCells() []Cell {
	return []Cell{
		{Step: StepStartUp, Guarantee: 12, Expected: "The new instance holds the version that was published.", Test: testServiceDuringFault},
		{Step: StepAuthentication, Guarantee: 9, Expected: "Sessions start.", Test: testAtEachStep},
		{Step: StepAdmission, Guarantee: 7, Expected: "The limits hold while sheet versions replace each other.", Test: testLimitsAndVersions},
		{Step: StepQueueing, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepAfterSend, Guarantee: 9, Expected: "Requests are not affected.", Test: testAtEachStep},
		{Step: StepBeforeAnswer, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepAfterAnswer, Guarantee: 1, Expected: "A read through another instance returns the write.", Test: testAtEachStep},
		{Step: StepInTransaction, Guarantee: 9, Expected: "The transaction is not affected.", Test: testAtEachStep},
		{Step: StepCommit, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{Step: StepPromotion, Guarantee: 2, Expected: "The failover completes.", Test: testServiceDuringFault},
		{Step: StepPublishRead, Guarantee: 12, Expected: "One publication is accepted and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
		{Step: StepPublishWrite, Guarantee: 12, Expected: "One publication is accepted and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
		{Step: StepPublishReadBack, Guarantee: 12, Expected: "One publication is accepted and the other gets a conflict, even if responses are lost.", Test: testRacingPublications},
		{Step: StepPublishConfirm, Guarantee: 12, Expected: "The published version is accepted and never reverted.", Test: testLimitsAndVersions},
		{Step: StepMovingShares, Guarantee: 7, Expected: "The limits hold when shares are transferred between sheet versions.", Test: testLimitsAndVersions},
		{Step: StepDrain, Guarantee: 12, Expected: "A drain does not overwrite what the other operator published.", Test: "operator.TestDrainKeepsRacingPublication"},
		{Step: StepStop, Guarantee: 11, Expected: "The stop aborts no transaction.", Test: testServiceDuringFault},
	}
}
