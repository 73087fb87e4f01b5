package peer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/peer"
)

// TestMain sets a fixed seed for the property tests, so that their result is
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step runs one random action and checks the invariants. The sequence of random
// numbers determines the whole run.
func (s *simulation) step(random *rand.Rand) error {
	n := s.nodes[random.IntN(len(s.nodes))]
	other := s.nodes[random.IntN(len(s.nodes))]
	switch action := random.IntN(200); {
	case action < 30:
		s.now += time.Duration(random.IntN(300)) * time.Millisecond
	case action < 31:
		s.now += time.Duration(random.IntN(6000)) * time.Millisecond
	case action < 45:
		s.readStore(n, random.IntN(3) == 0)
	case action < 75:
		for _, to := range s.nodes {
			if to != n {
				s.exchange(n, to, random.IntN(8) != 0)
			}
		}
	case action < 95:
		if n != other {
			s.requestShares(n, other)
		}
	case action < 100:
		s.queryPendingTransfers(n)
	case action < 125:
		return s.admit(n, 1+random.IntN(8))
	case action < 133:
		n.ledger.ReportDemand("s", random.IntN(2), random.IntN(3))
	case action < 135:
		s.proposeRoster(n, random.IntN(16))
	case action < 138:
		if s.publication == nil {
			s.writeSheet([]float64{0.5, 1, 1, 1.5}[random.IntN(4)])
			s.publication = peer.NewAcceptance(fleet.SheetVersion(len(s.limits) - 1))
		}
	case action < 139:
		s.restart(n)
	case action < 144:
		n.paused = action == 139
	case action < 150:
		s.refresh(n)
	case action < 153 && len(s.delayed) > 0:
		i := random.IntN(len(s.delayed))
		message := s.delayed[i]
		s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
		message()
	case action < 157 && len(s.queue) > 0:
		s.queue = s.queue[1:]
	default:
		for range 1 + random.IntN(20) {
			s.deliver(random)
		}
	}
	return s.checkInvariants()
}

// deliver delivers one queued message, usually the oldest one.
func (s *simulation) deliver(random *rand.Rand) {
	if len(s.queue) == 0 {
		return
	}
	i := 0
	if random.IntN(4) == 0 {
		i = random.IntN(len(s.queue))
	}
	message := s.queue[i]
	s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
	message()
}

// runSimulation runs a number of random steps and returns the first violation of
// an invariant.
func runSimulation(m mutation, seed uint64, steps int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSimulation(random, m)
	for i := range steps {
		if err := s.step(random); err != nil {
			return fmt.Errorf("seed %d, step %d: %w", seed, i, err)
		}
	}
	return nil
}

// TestLimitsAndVersionsHold guards against instances that together admit more
// requests or hold more permits than the limits allow, and against an instance
// that is valid without an accepted sheet version.
func TestLimitsAndVersionsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSimulation(mutationNone, rapid.Uint64().Draw(t, "seed"), 600); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutationsAreCaught guards against a property test that does not detect
// faults. For each mutation the search starts close to a seed that is known to
// reveal it.
func TestMutationsAreCaught(t *testing.T) {
	for m, start := range map[mutation]uint64{
		mutationAcceptedTwice:        0,
		mutationLeaseFromResponse:    470,
		mutationRejectionIgnored:     870,
		mutationDonorKeepsCapacity:   20,
		mutationJointSkipped:         0,
		mutationLeaseIgnored:         60,
		mutationMinorityGrants:       610,
		mutationNewEpochAnswersQuery: 4840,
		mutationDonorKeepsShares:     0,
		mutationGrantBeforeFetch:     1210,
	} {
		t.Run(string(m), func(t *testing.T) {
			for seed := start; seed < start+50; seed++ {
				if err := runSimulation(mutationNone, seed, 600); err != nil {
					t.Fatalf("the unmodified ledger violates an invariant: %v", err)
				}
				if err := runSimulation(m, seed, 600); err != nil {
					t.Log(err)
					return
				}
			}
			t.Errorf("the property test does not detect mutation %s", m)
		})
	}
}
