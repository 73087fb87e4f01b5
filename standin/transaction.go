package standin

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// transaction is the transaction of a session.
type transaction struct {
	// awaitedByFence is true if a fence request waits for the end of the
	// transaction. Such a transaction may still write.
	awaitedByFence bool
	// explicit is true after BEGIN. Otherwise the transaction ends with the
	// simple query or the Sync message.
	explicit bool
	// failed is true after an error, until the rollback.
	failed bool
	// pendingSavepoints are the savepoint statements before the first write. They
	// run when the write transaction starts.
	pendingSavepoints []string
	readOnly          bool
	// statements are the statements of the log entry so far, in order.
	statements []loggedStatement
	// writing is true once the transaction has become the server's writer.
	writing bool
}

// startWriting makes the transaction the writer of the server. It waits until the
// current writer has ended, and applies the rest of the log first.
func (s *Server) startWriting(ctx context.Context, tx *transaction) error {
	if tx.writing {
		return nil
	}
	var refusal error
	err := s.waitFor(ctx, func() bool {
		refusal = s.checkNewWrite(tx)
		if refusal != nil || s.writer != nil {
			return refusal != nil
		}
		s.writer = tx
		return true
	})
	if err != nil {
		return newSQLError(codeQueryCanceled, "canceling statement due to user request")
	}
	if refusal != nil {
		return refusal
	}
	tx.writing = true
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.applyAllLocked()
	if err := s.engine.begin(tx); err != nil {
		return err
	}
	for _, text := range tx.pendingSavepoints {
		if err := s.engine.working.exec(text); err != nil {
			return err
		}
		tx.statements = append(tx.statements, loggedStatement{sql: text})
	}
	return nil
}

// registerTransaction registers a transaction block that may write, so that a fence
// request can wait for its end. A server that is fenced, or is being fenced,
// refuses it.
func (s *Server) registerTransaction(tx *transaction) error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.draining || s.role == group.RoleFenced {
		return newSQLError(codeReadOnly, "cannot begin a transaction that may write")
	}
	s.openTransactions[tx] = struct{}{}
	return nil
}

// unregisterTransaction removes a transaction that has ended from the registered
// ones.
func (s *Server) unregisterTransaction(tx *transaction) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if _, registered := s.openTransactions[tx]; registered {
		delete(s.openTransactions, tx)
		s.broadcast()
	}
}

// isDrained reports whether all transactions that a fence request waits for, and
// the current writer, have ended. The caller holds the group's lock.
func (s *Server) isDrained() bool {
	for tx := range s.openTransactions {
		if tx.awaitedByFence {
			return false
		}
	}
	return s.writer == nil
}

// checkNewWrite returns an error if the transaction must not start to write. The
// caller holds the group's lock.
func (s *Server) checkNewWrite(tx *transaction) error {
	if s.role != group.RolePrimary || (s.draining && !tx.awaitedByFence) || !s.running {
		return newSQLError(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	return nil
}

// isWriter reports whether the transaction is still the server's writer.
func (s *Server) isWriter(tx *transaction) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.writer == tx
}

// commit commits the transaction. It returns the position of its log entry, or the
// zero position if nothing was written.
func (s *Server) commit(tx *transaction) (fleet.Position, error) {
	if !tx.writing || len(tx.statements) == len(tx.pendingSavepoints) {
		return fleet.Position{}, s.rollback(tx)
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	e := &entry{statements: tx.statements}
	number, appended := s.appendEntry(tx, e)
	if !appended {
		if s.engine.writeTx == tx {
			// The error is ignored: the transaction is reported as aborted in any
			// case.
			_ = s.engine.rollbackOpenTx()
		}
		return fleet.Position{}, newSQLError(codeSerialization, "the transaction was aborted because the server is no longer the primary")
	}
	err := s.engine.commit(e)
	s.finishCommit(number, err)
	return fleet.Position{Log: fleet.LogPosition(number), Term: e.term}, err
}

// appendEntry appends the entry of a transaction to the log, unless the
// transaction was aborted.
func (s *Server) appendEntry(tx *transaction, e *entry) (int, bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.writer != tx || s.engine.writeTx != tx {
		return 0, false
	}
	e.term = s.term
	s.log = append(s.log, storedEntry{entry: e, storedAt: time.Now()})
	s.broadcast()
	return len(s.log), true
}

// finishCommit marks the committed entry as applied, or the data as to be rebuilt if
// the commit failed, and lets the next writer start.
func (s *Server) finishCommit(number int, err error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	switch {
	case err != nil:
		s.rebuild = true
	case !s.rebuild:
		s.applied = number
	}
	s.writer = nil
	s.broadcast()
}

// rollback rolls back the transaction and lets the next writer start.
func (s *Server) rollback(tx *transaction) error {
	if !tx.writing {
		return nil
	}
	s.engine.mu.Lock()
	var err error
	if s.engine.writeTx == tx {
		err = s.engine.rollbackOpenTx()
	}
	s.engine.mu.Unlock()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.writer == tx {
		s.writer = nil
		s.broadcast()
	}
	return err
}
