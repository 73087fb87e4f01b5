package main

import "testing"

// TestDescriptorsForPeers guards against a limit at which an owner of groups, on the
// smallest machine of a large fleet, closes connections that other instances use.
func TestDescriptorsForPeers(t *testing.T) {
	for name, test := range map[string]struct{ descriptors, instances, dataCentres int }{
		"deployment H": {4300, 91, 3},
		"deployment L": {4400, 295, 6},
		"deployment Q": {4300, 75, 4},
		"deployment U": {3010, 100, 3},
	} {
		t.Run(name, func(t *testing.T) {
			// A reader of a relay has a pending call for each of about four tables.
			const callsOfReader = 4
			readers := test.instances / test.dataCentres
			need := (test.instances-1)*maxIdleOwnerConnections + readers*callsOfReader
			peers, probes := otherPorts(test.descriptors)
			if peers < need {
				t.Errorf("%d connections of other instances, want at least %d", peers, need)
			}
			// Callers have half of the descriptors, and an eighth is the reserve.
			if used := test.descriptors/2 + peers + 2*probes; used > test.descriptors*7/8 {
				t.Errorf("%d of %d descriptors are for accepted connections", used, test.descriptors)
			}
		})
	}
}
