package faultmatrix

// noPairTest is the reason for pairs that no test brings about together.
const noPairTest = "No test brings the two about together."

// Pairs returns all pairs of two different faults.
func Pairs() []Pair {
	tested := testedPairs()
	var pairs []Pair
	faults := Faults()
	for number, first := range faults {
		for _, second := range faults[number+1:] {
			pair := Pair{NoTestReason: noPairTest, First: first, Second: second}
			for _, known := range tested {
				if known.First == first && known.Second == second {
					pair = known
				}
			}
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

// testedPairs lists the pairs that a test brings about, each in the order of Faults.
func testedPairs() []Pair {
	return []Pair{
		{First: FaultPrimaryCutOff, Second: FaultPrimaryCrash, Guarantee: 2, Expected: "The outcome is truthful and acknowledged writes stay.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultReplicaLags, Guarantee: 1, Expected: "No acknowledged write is lost; the outcome is truthful.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultInstanceDies, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultKeyWithdrawn, Guarantee: 10, Expected: "The outcome is truthful.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreDown, Guarantee: 10, Expected: "The outcome is truthful and the failover needs no store.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreSlow, Guarantee: 10, Expected: "The outcome is truthful and the failover needs no store.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreAnswerLost, Guarantee: 10, Expected: "The outcome is truthful and the publication takes effect once.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultLeaseLapses, Guarantee: 2, Expected: "The cut-off side acknowledges nothing.", Test: "faultmatrix.TestCutOffPrimaryWithInstance"},
		{First: FaultPrimaryCutOff, Second: FaultOperatorsRace, Guarantee: 10, Expected: "The outcome is truthful and one operator wins.", Test: testBeforeAnswer},
		{First: FaultPrimaryCrash, Second: FaultReplicaLags, Guarantee: 1, Expected: "The promoted replica first applies what it received.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultInstanceDies, Guarantee: 2, Expected: "The other instances promote.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultKeyWithdrawn, Guarantee: 6, Expected: "The failover completes with the new key in force.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultStoreDown, Guarantee: 2, Expected: "The failover needs no store.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultStoreSlow, Guarantee: 2, Expected: "The failover needs no store.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultLeaseLapses, Guarantee: 2, Expected: "The failover completes.", Test: testDuringFault},
		{First: FaultInstanceDies, Second: FaultLeaseLapses, Guarantee: 7, Expected: "Limits hold across restarts and pauses.", Test: testLedger},
		{First: FaultKeyWithdrawn, Second: FaultStoreDown, Guarantee: 6, Expected: "The key stops working on open and new sessions.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{First: FaultStoreSlow, Second: FaultLeaseLapses, Guarantee: 12, Expected: "The lease counts from before the request.", Test: "peer.TestSlowStore"},
		{First: FaultStoreDown, Second: FaultLeaseLapses, Guarantee: 7, Expected: "Limits hold when reads fail and members pause.", Test: testLedger},
		{First: FaultStoreAnswerLost, Second: FaultOperatorsRace, Guarantee: 12, Expected: "One wins and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
	}
}
