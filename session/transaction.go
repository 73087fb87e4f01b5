package session

import (
	"errors"
	"time"
)

// rollbackTimeout bounds a rollback on a backend connection. After it, the
// connection is closed, which makes the server roll back as well.
const rollbackTimeout = 500 * time.Millisecond

// runInTransaction runs one statement of a transaction. The first one acquires a
// connection, and the later ones run on the same connection.
func (s *Session) runInTransaction(start time.Time, statement Statement, template *Template) Result {
	t := s.transaction
	if isWrite(statement, template) && !t.requirements.Write {
		return s.failStatement(start, statement, &Error{Err: errors.New("the transaction only reads"), Kind: KindReadOnly, Op: "run"})
	}
	if err := s.reauthorize(t); err != nil {
		return s.failStatement(start, statement, err)
	}
	deadline := start.Add(t.access.Route.StatementTimeout.Duration())
	attempts := 1
	if t.lease == nil {
		t.requirements.Deadline = deadline
		attempts = 0
		if err := s.openTransaction(t, template, &attempts); err != nil {
			return s.failStatement(start, statement, err)
		}
	}
	reply, failure := t.lease.Run(deadline, Batch{
		Authorization: s.authorization, Commands: []Command{newCommand(statement, template)}, Template: template, Variables: s.variables,
	})
	if failure != nil {
		err := wrapRunError("run in transaction", failure)
		if err.Kind != KindFailed && err.Kind != KindNoStatement {
			// The transaction isn't committed, so the server rolls it back.
			err.Kind = KindAborted
		}
		return s.failStatement(start, statement, err)
	}
	t.wrote = t.wrote || isWrite(statement, template)
	s.observe(start, s.config.Clock(), statement, t.requirements, attempts, nil)
	return s.replyResult(reply)
}

// reauthorize returns an error if the caller may not continue its transaction, which is
// then rolled back.
func (s *Session) reauthorize(t *transaction) *Error {
	err := s.checkKey(t.access)
	if err != nil && err.Kind.NotRun() {
		return &Error{Err: err.Err, Kind: KindAborted, Op: err.Op, RetryAfter: err.RetryAfter}
	}
	return err
}

// openTransaction acquires a connection and begins the transaction on it.
func (s *Session) openTransaction(t *transaction, template *Template, attempts *int) *Error {
	kind := StatementBeginRead
	if t.requirements.Write {
		kind = StatementBegin
	}
	_, err := s.runWithRetries(&t.requirements, attempts, false, func(lease Lease) (Reply, *Error) {
		if t.requirements.Write && !lease.Exclusive(s.config.Clock()) {
			lease.Release()
			return Reply{}, &Error{Err: errors.New("the primary may have been replaced"), Kind: KindReadOnly, Op: "begin"}
		}
		begin := Batch{Authorization: s.authorization, Commands: []Command{{Statement: Statement{Kind: kind}}}, Template: template, Variables: s.variables}
		if _, failure := lease.Run(t.requirements.Deadline, begin); failure != nil {
			s.rollback(lease)
			lease.Release()
			err := wrapRunError("begin", failure)
			if err.Kind == KindUnknown || err.Kind == KindTimeout {
				// Nothing was written, so the transaction certainly had no effect.
				err.Kind = KindBusy
			}
			return Reply{}, err
		}
		t.lease = lease
		return Reply{}, nil
	})
	if err == nil {
		// The begin may have waited in the queue of another instance.
		err = s.checkKey(t.access)
	}
	if err != nil && err.Kind == KindUnauthorized {
		err.Kind = KindAborted
	}
	return err
}

// failStatement returns an error result. If a transaction is open, it rolls it
// back and marks it as failed, so that the connection is released at once.
func (s *Session) failStatement(start time.Time, statement Statement, err *Error) Result {
	requirements := Requirements{}
	if s.transaction != nil {
		requirements = s.transaction.requirements
	}
	s.observe(start, s.config.Clock(), statement, requirements, 1, err)
	if s.state == StateTransaction {
		s.endTransaction(false)
		s.state = StateFailed
	}
	return s.errorResult(err)
}

// commit commits the transaction. If it wrote and the answer to the commit is
// lost, the outcome is unknown.
func (s *Session) commit(statement Statement) Result {
	start := s.config.Clock()
	t := s.transaction
	if t == nil {
		kind := KindMalformed
		if s.state == StateFailed {
			kind = KindAborted
		}
		s.state = StateIdle
		return s.errorResult(&Error{Err: errors.New("no transaction can be committed"), Kind: kind, Op: "commit"})
	}
	reply, err := s.commitOn(t, start, statement)
	s.observe(start, s.config.Clock(), statement, t.requirements, 1, err)
	s.endTransaction(err == nil)
	s.state = StateIdle
	if err != nil {
		return s.errorResult(err)
	}
	if t.wrote {
		s.lastWrites[t.requirements.Route.Group] = reply.Position
	}
	return s.replyResult(reply)
}

// commitOn sends the commit to the server. If the transaction has run no statement
// yet, it begins it there first.
func (s *Session) commitOn(t *transaction, start time.Time, statement Statement) (Reply, *Error) {
	if err := s.reauthorize(t); err != nil {
		return Reply{}, err
	}
	deadline := start.Add(t.access.Route.StatementTimeout.Duration())
	if t.lease == nil {
		t.requirements.Deadline = deadline
		attempts := 0
		if err := s.openTransaction(t, nil, &attempts); err != nil {
			return Reply{}, err
		}
	}
	s.lastServer = t.lease.Server()
	if t.wrote && !t.lease.Exclusive(start) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced"), Kind: KindAborted, Op: "commit"}
	}
	reply, failure := t.lease.Run(deadline, Batch{Authorization: s.authorization, Commands: []Command{{Statement: statement}}, Final: true, Variables: s.variables})
	if failure != nil {
		err := wrapRunError("commit", failure)
		lost := err.Kind == KindUnknown || err.Kind == KindTimeout
		if err.Kind == KindBusy || lost && (LostRequest{Commits: true, InTransaction: true, Writes: t.wrote}).Outcome() == OutcomeNotRun {
			err.Kind = KindAborted
		}
		return Reply{}, err
	}
	if t.wrote && !t.lease.Exclusive(s.config.Clock()) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced before it answered"), Kind: KindUnknown, Op: "commit"}
	}
	return reply, nil
}

// endTransaction ends the transaction and releases its connection. Unless it was
// committed, it is rolled back first.
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

// rollback rolls back the transaction on a connection. Errors are ignored: a
// connection whose rollback fails is closed, which rolls back as well.
func (s *Session) rollback(lease Lease) {
	deadline := s.config.Clock().Add(rollbackTimeout)
	_, _ = lease.Run(deadline, Batch{Commands: []Command{{Statement: Statement{Kind: StatementRollback}}}, Final: true, Variables: s.variables})
}
