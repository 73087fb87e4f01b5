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
			pair := Pair{Empty: noPairTest, First: first, Second: second}
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
		{First: FaultPrimaryCutOff, Second: FaultPrimaryCrash, Promise: 2, Must: "The outcome is truthful and acknowledged writes stay.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultReplicaLags, Promise: 1, Must: "No acknowledged write is lost; the outcome is truthful.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultInstanceDies, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultKeyWithdrawn, Promise: 10, Must: "The outcome is truthful.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreDown, Promise: 10, Must: "The outcome is truthful and the failover needs no store.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreSlow, Promise: 10, Must: "The outcome is truthful and the failover needs no store.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultStoreAnswerLost, Promise: 10, Must: "The outcome is truthful and the publication takes effect once.", Test: testBeforeAnswer},
		{First: FaultPrimaryCutOff, Second: FaultLeaseLapses, Promise: 2, Must: "The cut-off side acknowledges nothing.", Test: "faultmatrix.TestCutOffPrimaryWithInstance"},
		{First: FaultPrimaryCutOff, Second: FaultOperatorsRace, Promise: 10, Must: "The outcome is truthful and one operator wins.", Test: testBeforeAnswer},
		{First: FaultPrimaryCrash, Second: FaultReplicaLags, Promise: 1, Must: "The promoted replica first applies what it received.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultInstanceDies, Promise: 2, Must: "The other instances promote.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultKeyWithdrawn, Promise: 6, Must: "The failover completes with the new key in force.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultStoreDown, Promise: 2, Must: "The failover needs no store.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultStoreSlow, Promise: 2, Must: "The failover needs no store.", Test: testDuringFault},
		{First: FaultPrimaryCrash, Second: FaultLeaseLapses, Promise: 2, Must: "The failover completes.", Test: testDuringFault},
		{First: FaultInstanceDies, Second: FaultLeaseLapses, Promise: 7, Must: "Limits hold across restarts and pauses.", Test: testLedger},
		{First: FaultKeyWithdrawn, Second: FaultStoreDown, Promise: 6, Must: "The key stops working on open and new sessions.", Test: "faultmatrix.TestKeyWithdrawnWhileStoreFails"},
		{First: FaultStoreSlow, Second: FaultLeaseLapses, Promise: 12, Must: "The lease counts from before the request.", Test: "peer.TestSlowStore"},
		{First: FaultStoreDown, Second: FaultLeaseLapses, Promise: 7, Must: "Limits hold when reads fail and members pause.", Test: testLedger},
		{First: FaultStoreAnswerLost, Second: FaultOperatorsRace, Promise: 12, Must: "One wins and the other gets a conflict.", Test: "faultmatrix.TestRacingOperators"},
	}
}
