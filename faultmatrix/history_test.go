package faultmatrix_test

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// kind is the kind of an operation on a register. A register is a set of
// journal rows with the same register number; its value is the row with the highest
// version.
type kind string

const (
	kindRead  kind = "Read"
	kindWrite kind = "Write"
)

// operation is one recorded read or write of a register. Its times count from the
// start of the run.
type operation struct {
	calledAt time.Duration
	// firstRead is true for the first read of a session that connected without a
	// token. It goes through the read barrier.
	firstRead bool
	kind      kind
	// op identifies the operation. For a write it is the op column of its row.
	op         string
	outcome    string
	register   int
	returnedAt time.Duration
	// session is the number of the roaming session. Its operations are recorded in
	// the order in which they ran.
	session int
	// version and writer are what a read returned or a write wrote. They are zero
	// and empty if the register has no row yet, or if a write has no response.
	version int
	writer  string
}

// journalRow is one row of the journal table after the run.
type journalRow struct {
	op       string
	register int
	version  int
}

// history is everything that a run recorded.
type history struct {
	journal    []journalRow
	operations []operation
	// sums holds the sums over both stock rows, as the sessions read them.
	sums []int
}

// stockTotal is the sum of both stock rows, which transfers do not change.
const stockTotal = 1000

// registerState is the state of a register in the porcupine model.
type registerState struct {
	version int
	writer  string
}

// registerModel returns a porcupine model of registers in which each write increases
// the version by one. A write with an unknown outcome matches any resulting version,
// because the caller did not learn it.
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
			var partitions [][]porcupine.Operation
			for _, operations := range byRegister {
				partitions = append(partitions, operations)
			}
			return partitions
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

// check returns the first violation of the consistency guarantees that it finds.
func (h *history) check() error {
	for _, verify := range []func() error{
		h.checkWrites, h.checkTransfers, h.checkFirstReads, h.checkReadYourWrites, h.checkLinearizable,
	} {
		if err := verify(); err != nil {
			return err
		}
	}
	return nil
}

// versionsByOp returns the version of each write in the journal, by op.
func (h *history) versionsByOp() map[string]int {
	versionsByOp := make(map[string]int)
	for _, e := range h.journal {
		versionsByOp[e.op] = e.version
	}
	return versionsByOp
}

// checkWrites finds duplicate, conflicting and lost writes, and writes that were
// reported as failed or not run but took effect.
func (h *history) checkWrites() error {
	seen, opsByVersion := make(map[string]bool), make(map[registerVersion]string)
	for _, e := range h.journal {
		if seen[e.op] {
			return fmt.Errorf("doubled write: %s", e.op)
		}
		key := registerVersion{e.register, e.version}
		if other, found := opsByVersion[key]; found {
			return fmt.Errorf("mixed writes: %s and %s made version %d of register %d", other, e.op, e.version, e.register)
		}
		seen[e.op], opsByVersion[key] = true, e.op
	}
	for _, o := range h.operations {
		switch {
		case o.kind != kindWrite:
		case o.outcome == outcomeCommitted && !seen[o.op]:
			return fmt.Errorf("lost write: %s was acknowledged but is not in the journal", o.op)
		case o.outcome != outcomeCommitted && o.outcome != outcomeUnknown && seen[o.op]:
			return fmt.Errorf("false outcome: %s was reported as %s and is there", o.op, o.outcome)
		}
	}
	return nil
}

// registerVersion identifies one version of a register.
type registerVersion struct{ register, version int }

// checkTransfers finds transfers of which a read saw only one of the two updates.
func (h *history) checkTransfers() error {
	for _, sum := range h.sums {
		if sum != stockTotal {
			return fmt.Errorf("mixed transaction: the stock rows had the sum %d, want %d", sum, stockTotal)
		}
	}
	return nil
}

// checkFirstReads finds first reads that miss a write which was acknowledged before
// the session connected.
func (h *history) checkFirstReads() error {
	for _, read := range h.operations {
		if read.kind != kindRead || !read.firstRead {
			continue
		}
		for _, write := range h.operations {
			acknowledged := write.kind == kindWrite && write.outcome == outcomeCommitted && write.register == read.register
			if acknowledged && write.returnedAt < read.calledAt && write.version > read.version {
				return fmt.Errorf("stale read: %s returned version %d of register %d although %s had already written version %d", read.op, read.version, read.register, write.op, write.version)
			}
		}
	}
	return nil
}

// sessionRegister identifies one register as used by one session.
type sessionRegister struct{ session, register int }

// checkReadYourWrites finds reads that miss an acknowledged write of the same
// session.
func (h *history) checkReadYourWrites() error {
	lastVersion := make(map[sessionRegister]int)
	for _, o := range h.operations {
		key := sessionRegister{o.session, o.register}
		switch {
		case o.kind == kindWrite && o.outcome == outcomeCommitted:
			lastVersion[key] = max(lastVersion[key], o.version)
		case o.kind == kindRead && o.version < lastVersion[key]:
			return fmt.Errorf("own write missed: session %d saw version %d of register %d after %d", o.session, o.version, o.register, lastVersion[key])
		}
	}
	return nil
}

// isDirtyRead reports whether a read returned a write that is not in the journal,
// because only the old primary had it when a failover replaced that primary. The
// design allows such reads.
func isDirtyRead(read operation, versionsByOp map[string]int) bool {
	version, found := versionsByOp[read.writer]
	return read.version > 0 && (!found || version != read.version)
}

// checkLinearizable checks that the writes and the first reads are linearizable.
// Later reads need only be consistent within their session. Writes that are not in
// the journal are left out; unknown writes in it may have taken effect at any time
// after the call.
func (h *history) checkLinearizable() error {
	versionsByOp := h.versionsByOp()
	var operations []porcupine.Operation
	for _, o := range h.operations {
		returnedAt := int64(o.returnedAt)
		switch {
		case o.kind == kindRead && (!o.firstRead || isDirtyRead(o, versionsByOp)):
			continue
		case o.kind == kindWrite && o.outcome == outcomeUnknown:
			if _, found := versionsByOp[o.op]; !found {
				continue
			}
			returnedAt = math.MaxInt64
		case o.kind == kindWrite && o.outcome != outcomeCommitted:
			continue
		}
		operations = append(operations, porcupine.Operation{
			Call:     int64(o.calledAt),
			ClientId: o.session,
			Input:    o,
			Output:   registerState{version: o.version, writer: o.writer},
			Return:   returnedAt,
		})
	}
	if result := porcupine.CheckOperationsTimeout(registerModel(), operations, testTimeout); result != porcupine.Ok {
		return fmt.Errorf("not linearizable: porcupine reports %s", result)
	}
	return nil
}

// countDirtyReads counts the reads that returned a write which a failover dropped.
func (h *history) countDirtyReads() int {
	versionsByOp, count := h.versionsByOp(), 0
	for _, o := range h.operations {
		if o.kind == kindRead && isDirtyRead(o, versionsByOp) {
			count++
		}
	}
	return count
}
