package standin

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// transaction is the open transaction of a session.
type transaction struct {
	// drains is true when a fence request waits for the end of the transaction.
	drains bool
	// explicit is true after BEGIN. Otherwise the transaction ends with the
	// simple query or the Sync message.
	explicit bool
	// failed is true after an error, until the rollback.
	failed bool
	// pending are savepoint statements from before the first write.
	pending  []string
	readOnly bool
	// statements are the writes so far, in order.
	statements []loggedStatement
	// writing is true once the transaction is the server's writer.
	writing bool
}

// startWriting makes the transaction the writer of the server. It waits for
// another writer to end.
func (s *Server) startWriting(ctx context.Context, tx *transaction) error {
	if tx.writing {
		return nil
	}
	var refusal error
	err := s.waitFor(ctx, func() bool {
		refusal = s.checkWritable(tx)
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
	s.applyRest()
	if err := s.engine.begin(tx); err != nil {
		return err
	}
	for _, text := range tx.pending {
		if err := s.engine.work.exec(text); err != nil {
			return err
		}
		tx.statements = append(tx.statements, loggedStatement{sql: text})
	}
	return nil
}

// beginTransaction takes note of a transaction block that may write. A server
// that is fenced, or is being fenced, refuses it.
func (s *Server) beginTransaction(tx *transaction) error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.draining || s.role == group.RoleFenced {
		return newSQLError(codeReadOnly, "cannot begin a transaction that may write")
	}
	s.open[tx] = struct{}{}
	return nil
}

// endTransaction ends the note of beginTransaction.
func (s *Server) endTransaction(tx *transaction) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if _, noted := s.open[tx]; noted {
		delete(s.open, tx)
		s.broadcast()
	}
}

// isDrained reports whether all transactions that a fence request waits for
// have ended. The caller holds the group's lock.
func (s *Server) isDrained() bool {
	for tx := range s.open {
		if tx.drains {
			return false
		}
	}
	return s.writer == nil
}

// checkWritable returns the refusal of a new write. The caller holds the
// group's lock.
func (s *Server) checkWritable(tx *transaction) error {
	if s.role != group.RolePrimary || (s.draining && !tx.drains) || !s.running {
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

// commit ends the transaction. It returns the position of its log entry, or
// zero when nothing was written.
func (s *Server) commit(tx *transaction) (fleet.Position, error) {
	if !tx.writing || len(tx.statements) == len(tx.pending) {
		return fleet.Position{}, s.rollback(tx)
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	e := &entry{statements: tx.statements}
	number, appended := s.appendEntry(tx, e)
	if !appended {
		if s.engine.owner == tx {
			// The transaction is aborted in each case.
			_ = s.engine.abandon()
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
	if s.writer != tx || s.engine.owner != tx {
		return 0, false
	}
	e.term = s.term
	s.log = append(s.log, logged{entry: e, at: time.Now()})
	s.broadcast()
	return len(s.log), true
}

// finishCommit makes the committed entry visible and lets the next writer start.
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

// rollback ends the transaction without effect.
func (s *Server) rollback(tx *transaction) error {
	if !tx.writing {
		return nil
	}
	s.engine.mu.Lock()
	var err error
	if s.engine.owner == tx {
		err = s.engine.abandon()
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
