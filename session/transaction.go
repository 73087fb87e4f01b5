package session

import (
	"errors"
	"time"
)

// rollbackBound bounds the rollback on a server connection. One that takes
// longer is closed instead, which rolls back as well.
const rollbackBound = 500 * time.Millisecond

// runInTransaction runs one statement of a transaction. The first one chooses
// the server, and all others run on the same connection.
func (s *Session) runInTransaction(start time.Time, statement Statement, template *Template) Result {
	t := s.transaction
	if writes(statement, template) && !t.need.Write {
		return s.inTransaction(start, statement, &Error{Err: errors.New("the transaction only reads"), Kind: KindReadOnly, Op: "run"})
	}
	deadline := start.Add(t.access.Route.StatementTimeout.Duration())
	attempts := 1
	if t.lease == nil {
		t.need.Deadline = deadline
		attempts = 0
		if err := s.openTransaction(t, template, &attempts); err != nil {
			return s.inTransaction(start, statement, err)
		}
	} else if err := s.align(t.lease, deadline, template, nil); err != nil {
		return s.inTransaction(start, statement, &Error{Err: err.Err, Kind: KindAborted, Op: err.Op})
	}
	s.lastServer = t.lease.Server()
	reply, failure := t.lease.Run(deadline, []Command{commandOf(statement, template)})
	if failure != nil {
		err := errorOf("run in transaction", failure)
		if err.Kind != KindFailed && err.Kind != KindNoStatement {
			// Without a commit, the server rolls back whatever has run.
			err.Kind = KindAborted
		}
		return s.inTransaction(start, statement, err)
	}
	t.wrote = t.wrote || writes(statement, template)
	s.observe(start, s.config.Clock(), statement, t.need, attempts, nil)
	return s.succeeded(reply)
}

// openTransaction begins the transaction on a server.
func (s *Session) openTransaction(t *transaction, template *Template, attempts *int) *Error {
	kind := StatementBeginRead
	if t.need.Write {
		kind = StatementBegin
	}
	_, err := s.attempt(&t.need, attempts, false, func(lease Lease) (Reply, *Error) {
		begin := Command{Statement: Statement{Kind: kind}, MinPosition: lease.MinPosition()}
		if t.need.Write && !lease.Exclusive(s.config.Clock()) {
			lease.Release()
			return Reply{}, &Error{Err: errors.New("the primary may have been replaced"), Kind: KindReadOnly, Op: "begin"}
		}
		if err := s.align(lease, t.need.Deadline, template, []Command{begin}); err != nil {
			s.rollback(lease)
			lease.Release()
			return Reply{}, err
		}
		t.lease = lease
		return Reply{}, nil
	})
	return err
}

// inTransaction answers with an error. Inside a transaction it fails it, so
// that the server connection is free at once.
func (s *Session) inTransaction(start time.Time, statement Statement, err *Error) Result {
	need := Requirements{}
	if s.transaction != nil {
		need = s.transaction.need
	}
	s.observe(start, s.config.Clock(), statement, need, 1, err)
	if s.state == StateTransaction {
		s.endTransaction(false)
		s.state = StateFailed
	}
	return s.failed(err)
}

// commit ends the transaction. After the commit was sent, a missing answer
// leaves the outcome unknown.
func (s *Session) commit(statement Statement) Result {
	start := s.config.Clock()
	t := s.transaction
	if t == nil {
		kind := KindMalformed
		if s.state == StateFailed {
			kind = KindAborted
		}
		s.state = StateIdle
		return s.failed(&Error{Err: errors.New("no transaction can be committed"), Kind: kind, Op: "commit"})
	}
	reply, err := s.commitOn(t, start, statement)
	s.observe(start, s.config.Clock(), statement, t.need, 1, err)
	s.endTransaction(err == nil)
	s.state = StateIdle
	if err != nil {
		return s.failed(err)
	}
	if t.wrote {
		s.own = reply.Position
	}
	return s.succeeded(reply)
}

func (s *Session) commitOn(t *transaction, start time.Time, statement Statement) (Reply, *Error) {
	deadline := start.Add(t.access.Route.StatementTimeout.Duration())
	if t.lease == nil {
		t.need.Deadline = deadline
		attempts := 0
		if err := s.openTransaction(t, nil, &attempts); err != nil {
			return Reply{}, err
		}
	}
	s.lastServer = t.lease.Server()
	if t.wrote && !t.lease.Exclusive(start) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced"), Kind: KindAborted, Op: "commit"}
	}
	reply, failure := t.lease.Run(deadline, []Command{{Statement: statement}})
	if failure != nil {
		err := errorOf("commit", failure)
		lost := err.Kind == KindUnknown || err.Kind == KindTimeout
		if lost && (LostRequest{Commits: true, InTransaction: true, Writes: t.wrote}).Outcome() == OutcomeNotRun {
			err.Kind = KindAborted
		}
		return Reply{}, err
	}
	if t.wrote && !t.lease.Exclusive(s.config.Clock()) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced before it answered"), Kind: KindUnknown, Op: "commit"}
	}
	return reply, nil
}

// endTransaction gives up the transaction and its connection. Unless it was
// committed, it is rolled back.
func (s *Session) endTransaction(committed bool) {
	t := s.transaction
	s.transaction = nil
	s.state = StateIdle
	if t == nil || t.lease == nil {
		return
	}
	if !committed {
		s.rollback(t.lease)
	}
	t.lease.Release()
	t.lease = nil
}

// rollback ends a transaction on a server. A failure closes the connection,
// which rolls back as well.
func (s *Session) rollback(lease Lease) {
	deadline := s.config.Clock().Add(rollbackBound)
	_, _ = lease.Run(deadline, []Command{{Statement: Statement{Kind: StatementRollback}}})
}
