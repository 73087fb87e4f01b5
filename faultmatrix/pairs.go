package faultmatrix

// noPairTest is the reason for pairs whose faults no test injects together.
const noPairTest = "No test injects both faults."

// Pairs returns all pairs of different faults, each once, in the order of Faults.
func Pairs() []Pair {
	tested := testedPairs()
	var pairs []Pair
	faults := Faults()
	for i, first := range faults {
		for _, second := range faults[i+1:] {
			pair := Pair{NoTestReason: noPairTest, First: first, Second: second}
			for _, testedPair := range tested {
				if testedPair.First == first && testedPair.Second == second {
					pair = testedPair
				}
			}
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

// testedPairs returns the pairs that a test covers. In each pair, First comes
// before Second in Faults.
func testedPairs() []Pair {
	return []Pair{
		{First: FaultPrimaryCutOff, Second: FaultPrimaryCrash, Guarantee: 2, Expected: "The reported outcome is correct, and no acknowledged write is lost.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultReplicaLags, Guarantee: 1, Expected: "No acknowledged write is lost, and the reported outcome is correct.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultInstanceDies, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultKeyWithdrawn, Guarantee: 10, Expected: "The reported outcome is correct.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreDown, Guarantee: 10, Expected: "The reported outcome is correct, and the failover does not need the store.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreSlow, Guarantee: 10, Expected: "The reported outcome is correct, and the failover does not need the store.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreAnswerLost, Guarantee: 10, Expected: "The reported outcome is correct, and the publication takes effect once.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultLeaseLapses, Guarantee: 2, Expected: "No write on the cut-off side is acknowledged.", Test: "faultmatrix.TestCutOffPrimaryWithInstance"},
		{First: FaultPrimaryCutOff, Second: FaultOperatorsRace, Guarantee: 10, Expected: "The reported outcome is correct, and one of the publications is accepted.", Test: testBeforeAnswer},
		{First: FaultPrimaryCrash, Second: FaultReplicaLags, Guarantee: 1, Expected: "The promoted replica first applies all log entries that it has received.", Test: testServiceDuringFault},
		{First: FaultPrimaryCrash, Second: FaultInstanceDies, Guarantee: 2, Expected: "The other instances promote a replica.", Test: testServiceDuringFault},
		{First: FaultPrimaryCrash, Second: FaultKeyWithdrawn, Guarantee: 6, Expected: "The failover completes with the new key in force.", Test: testServiceDuringFault},
		{First: FaultPrimaryCrash, Second: FaultStoreDown, Guarantee: 2, Expected: "The failover does not need the store.", Test: testServiceDuringFault},
		{First: FaultPrimaryCrash, Second: FaultStoreSlow, Guarantee: 2, Expected: "The failover does not need the store.", Test: testServiceDuringFault},
		{First: FaultPrimaryCrash, Second: FaultLeaseLapses, Guarantee: 2, Expected: "The failover completes.", Test: testServiceDuringFault},
		{First: FaultInstanceDies, Second: FaultLeaseLapses, Guarantee: 7, Expected: "The limits hold across restarts and pauses.", Test: testLimitsAndVersions},
		{First: FaultKeyWithdrawn, Second: FaultStoreDown, Guarantee: 6, Expected: "The key is refused in open and in new sessions.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{First: FaultStoreSlow, Second: FaultLeaseLapses, Guarantee: 12, Expected: "The lease starts when the request is sent, not when the response arrives.", Test: "peer.TestSlowStore"},
		{First: FaultStoreDown, Second: FaultLeaseLapses, Guarantee: 7, Expected: "The limits hold while reads of the store fail and instances pause.", Test: testLimitsAndVersions},
		{First: FaultStoreAnswerLost, Second: FaultOperatorsRace, Guarantee: 12, Expected: "One publication is accepted and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
	}
}
