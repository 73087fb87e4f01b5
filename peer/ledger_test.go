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

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step runs one action of the model. The draws decide the whole run.
func (w *world) step(random *rand.Rand) error {
	n := w.nodes[random.IntN(len(w.nodes))]
	other := w.nodes[random.IntN(len(w.nodes))]
	switch action := random.IntN(200); {
	case action < 30:
		w.now += time.Duration(random.IntN(300)) * time.Millisecond
	case action < 31:
		w.now += time.Duration(random.IntN(6000)) * time.Millisecond
	case action < 45:
		w.readStore(n, random.IntN(3) == 0)
	case action < 75:
		for _, to := range w.nodes {
			if to != n {
				w.exchange(n, to, random.IntN(8) != 0)
			}
		}
	case action < 95:
		if n != other {
			w.ask(n, other)
		}
	case action < 100:
		w.query(n)
	case action < 125:
		return w.admit(n, 1+random.IntN(8))
	case action < 133:
		n.ledger.ReportDemand("s", random.IntN(2), random.IntN(3))
	case action < 135:
		w.propose(n, random.IntN(16))
	case action < 138:
		if w.publish == nil {
			w.writeSheet([]float64{0.5, 1, 1, 1.5}[random.IntN(4)])
			w.publish = peer.NewAcceptance(fleet.SheetVersion(len(w.limits) - 1))
		}
	case action < 139:
		w.restart(n)
	case action < 144:
		n.paused = action == 139
	case action < 150:
		w.refresh(n)
	case action < 153 && len(w.slow) > 0:
		i := random.IntN(len(w.slow))
		message := w.slow[i]
		w.slow = append(w.slow[:i:i], w.slow[i+1:]...)
		message()
	case action < 157 && len(w.queue) > 0:
		w.queue = w.queue[1:]
	default:
		for range 1 + random.IntN(20) {
			w.deliver(random)
		}
	}
	return w.check()
}

// deliver hands over one queued message, usually the oldest one.
func (w *world) deliver(random *rand.Rand) {
	if len(w.queue) == 0 {
		return
	}
	i := 0
	if random.IntN(4) == 0 {
		i = random.IntN(len(w.queue))
	}
	message := w.queue[i]
	w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	message()
}

func run(m mutation, seed uint64, steps int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(random, m)
	for i := range steps {
		if err := w.step(random); err != nil {
			return fmt.Errorf("seed %d, step %d: %w", seed, i, err)
		}
	}
	return nil
}

// TestLimitsAndVersionsHold guards against more admissions or permits over all
// instances than the limits, and against a valid instance that misses an
// accepted sheet version.
func TestLimitsAndVersionsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(mutationNone, rapid.Uint64().Draw(t, "seed"), 600); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutationsAreCaught guards against a property test that notices nothing.
// The search starts close to a seed that is known to show the mutation.
func TestMutationsAreCaught(t *testing.T) {
	for m, start := range map[mutation]uint64{
		mutationAcceptedTwice:     0,
		mutationAnswerTime:        470,
		mutationBarIgnored:        870,
		mutationCapacityKept:      20,
		mutationJointSkipped:      0,
		mutationLeaseIgnored:      60,
		mutationMinority:          610,
		mutationNewEpochAnswers:   4840,
		mutationSubtractedLate:    0,
		mutationVersionsUnchecked: 1210,
	} {
		t.Run(string(m), func(t *testing.T) {
			for seed := start; seed < start+50; seed++ {
				if err := run(mutationNone, seed, 600); err != nil {
					t.Fatalf("without mutation: %v", err)
				}
				if err := run(m, seed, 600); err != nil {
					t.Log(err)
					return
				}
			}
			t.Errorf("mutation %s was not caught", m)
		})
	}
}
