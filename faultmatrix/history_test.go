package faultmatrix_test

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// kind is the kind of an operation on a register.
type kind string

const (
	kindRead  kind = "Read"
	kindWrite kind = "Write"
)

// operation is one recorded operation. Times count from the start of the run.
type operation struct {
	call time.Duration
	// fresh is set for the first read of a session without a token.
	fresh    bool
	kind     kind
	op       string
	outcome  string
	register int
	returned time.Duration
	// session is the roaming session, whose operations are in order.
	session int
	// version and writer are what a read saw, or what a write made. Zero and
	// empty stand for a register without a write.
	version int
	writer  string
}

// entry is one row of the journal after the run.
type entry struct {
	op       string
	register int
	version  int
}

// history is everything that a run recorded.
type history struct {
	journal    []entry
	operations []operation
	// sums holds the sums of the transferred sheets that were read.
	sums []int
}

// total is the constant sum of the stock rows.
const total = 1000

// registerState is the state of a register in the model of porcupine.
type registerState struct {
	version int
	writer  string
}

// registerModel is a register whose writes raise the version by one. A write
// with an unknown outcome may take effect at any later time or never.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Equal: func(a, b any) bool { return a == b },
		Init:  func() any { return registerState{} },
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byRegister := map[int][]porcupine.Operation{}
			for _, o := range all {
				register := o.Input.(operation).register
				byRegister[register] = append(byRegister[register], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byRegister {
				parts = append(parts, part)
			}
			return parts
		},
		Step: func(state, input, output any) (bool, any) {
			before, in, out := state.(registerState), input.(operation), output.(registerState)
			if in.kind == kindRead {
				return before == out, before
			}
			after := registerState{version: before.version + 1, writer: in.op}
			return in.outcome == outcomeUnknown || out.version == after.version, after
		},
	}
}

// check returns the first violation that it finds.
func (h *history) check() error {
	for _, verify := range []func() error{
		h.checkEffects, h.checkSums, h.checkFresh, h.checkSessions, h.checkLinearizable,
	} {
		if err := verify(); err != nil {
			return err
		}
	}
	return nil
}

// effects returns the version that each operation made, by its name.
func (h *history) effects() map[string]int {
	effects := make(map[string]int)
	for _, e := range h.journal {
		effects[e.op] = e.version
	}
	return effects
}

// checkEffects finds doubled, lost and falsely reported writes.
func (h *history) checkEffects() error {
	seen, versions := make(map[string]bool), make(map[registerVersion]string)
	for _, e := range h.journal {
		if seen[e.op] {
			return fmt.Errorf("doubled write: %s", e.op)
		}
		at := registerVersion{e.register, e.version}
		if other, found := versions[at]; found {
			return fmt.Errorf("mixed writes: %s and %s made version %d of register %d", other, e.op, e.version, e.register)
		}
		seen[e.op], versions[at] = true, e.op
	}
	for _, o := range h.operations {
		switch {
		case o.kind != kindWrite:
		case o.outcome == outcomeCommitted && !seen[o.op]:
			return fmt.Errorf("lost write: %s was acknowledged", o.op)
		case o.outcome != outcomeCommitted && o.outcome != outcomeUnknown && seen[o.op]:
			return fmt.Errorf("false outcome: %s was reported as %s and is there", o.op, o.outcome)
		}
	}
	return nil
}

// registerVersion names one version of a register.
type registerVersion struct{ register, version int }

// checkSums finds mixed transactions.
func (h *history) checkSums() error {
	for _, sum := range h.sums {
		if sum != total {
			return fmt.Errorf("mixed transaction: the stock rows had the sum %d, want %d", sum, total)
		}
	}
	return nil
}

// checkFresh finds first reads that miss a write acknowledged before the
// session arrived.
func (h *history) checkFresh() error {
	for _, read := range h.operations {
		if read.kind != kindRead || !read.fresh {
			continue
		}
		for _, write := range h.operations {
			acknowledged := write.kind == kindWrite && write.outcome == outcomeCommitted && write.register == read.register
			if acknowledged && write.returned < read.call && write.version > read.version {
				return fmt.Errorf("stale read: %s saw version %d of register %d after %s made %d", read.op, read.version, read.register, write.op, write.version)
			}
		}
	}
	return nil
}

// sessionRegister names what one session knows of one register.
type sessionRegister struct{ session, register int }

// checkSessions finds reads that miss an own acknowledged write.
func (h *history) checkSessions() error {
	known := make(map[sessionRegister]int)
	for _, o := range h.operations {
		at := sessionRegister{o.session, o.register}
		switch {
		case o.kind == kindWrite && o.outcome == outcomeCommitted:
			known[at] = max(known[at], o.version)
		case o.kind == kindRead && o.version < known[at]:
			return fmt.Errorf("own write missed: session %d saw version %d of register %d after %d", o.session, o.version, o.register, known[at])
		}
	}
	return nil
}

// dirty reports whether a read saw a write that is not in the journal: one
// that the old primary held and a failover dropped. The design allows that.
func dirty(read operation, effects map[string]int) bool {
	version, found := effects[read.writer]
	return read.version > 0 && (!found || version != read.version)
}

// checkLinearizable checks writes and first reads of fresh sessions.
func (h *history) checkLinearizable() error {
	effects := h.effects()
	var operations []porcupine.Operation
	for _, o := range h.operations {
		returned := int64(o.returned)
		switch {
		case o.kind == kindRead && (!o.fresh || dirty(o, effects)):
			continue
		case o.kind == kindWrite && o.outcome == outcomeUnknown:
			if _, found := effects[o.op]; !found {
				continue
			}
			returned = math.MaxInt64
		case o.kind == kindWrite && o.outcome != outcomeCommitted:
			continue
		}
		operations = append(operations, porcupine.Operation{
			Call:     int64(o.call),
			ClientId: o.session,
			Input:    o,
			Output:   registerState{version: o.version, writer: o.writer},
			Return:   returned,
		})
	}
	if result := porcupine.CheckOperationsTimeout(registerModel(), operations, testTimeout); result != porcupine.Ok {
		return fmt.Errorf("not linearizable: %s", result)
	}
	return nil
}

// dirtyReads counts the reads that saw a write which a failover dropped.
func (h *history) dirtyReads() int {
	effects, count := h.effects(), 0
	for _, o := range h.operations {
		if o.kind == kindRead && dirty(o, effects) {
			count++
		}
	}
	return count
}
