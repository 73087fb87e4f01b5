package caller

import (
	"errors"

	"github.com/nutmegpier/nutmegpier/backend"
)

// check refuses what can't run over a shared connection, and returns the SQL
// to send. It acts on the proxy's own settings.
func (s *session) check(class *Classification, sql string) (string, error) {
	if refused := class.RefusalReason(); refused != "" {
		return "", unsupported(refused)
	}
	if class.usesSequenceState() && s.tx == backend.TxIdle && !s.pinned {
		return "", unsupported("currval and lastval need a transaction over shared connections")
	}
	first := &class.First
	own := (first.Verb == VerbSet || first.Verb == VerbReset) && isOwnSetting(first.Name)
	renamed := first.Verb == VerbDeallocate && s.prepared[first.Name] != nil
	if len(class.Rest) > 0 {
		s.pinMixed(class)
		return sql, checkSingle(class)
	}
	switch {
	case own && first.Verb == VerbSet && first.Name != "application_name":
		return harmlessSQL, s.ownSetting(first.Name, first.Value)
	case own && first.Name == maxAgeSetting:
		s.maxAge = 0
		return harmlessSQL, nil
	case own:
		return harmlessSQL, nil
	case renamed:
		s.dropPrepared(first.Name)
		return harmlessSQL, nil
	}
	return sql, nil
}

// pinMixed pins the connection for a text that both controls transactions and
// changes settings, since which changes last isn't tracked inside a text.
func (s *session) pinMixed(class *Classification) {
	if !class.ControlsTransaction() {
		return
	}
	for statement := range class.statements {
		if statement.Verb == VerbSet || statement.Verb == VerbReset {
			statement.Pins = true
		}
	}
}

// checkSingle refuses statements that only work alone in a text.
func checkSingle(class *Classification) error {
	for s := range class.statements {
		if (s.Verb == VerbSet || s.Verb == VerbReset) && isOwnSetting(s.Name) {
			return unsupported("setting " + s.Name + " must be the only statement of a query")
		}
	}
	return nil
}

// noteChanges notes the statements that change the session when they succeed.
func (s *session) noteChanges(class *Classification) {
	for statement := range class.statements {
		switch statement.Verb {
		case VerbSet, VerbReset:
			if !isOwnSetting(statement.Name) {
				s.changes = append(s.changes, changeOf(statement))
			}
		case VerbDeallocate, VerbDiscard, VerbRollbackTo:
			s.changes = append(s.changes, changeOf(statement))
		}
		if statement.Pins {
			s.changes = append(s.changes, settingChange{verb: verbPin})
		}
	}
}

// changesSession reports whether noteChanges would note anything.
func (c *Classification) changesSession() bool {
	for statement := range c.statements {
		switch statement.Verb {
		case VerbDeallocate, VerbDiscard, VerbReset, VerbRollbackTo, VerbSet:
			return true
		}
		if statement.Pins {
			return true
		}
	}
	return false
}

// verbPin is the change that pins the connection.
const verbPin Verb = "Pin"

// settle takes the effect of a completed request into the session.
func (s *session) settle(r *request, result answer, conn *backend.Conn) {
	if r.touches {
		conn.Touch()
	}
	s.settleAtOnce(result, conn)
	if s.tx != backend.TxIdle {
		return
	}
	if result.code == "" && !s.rolledBack {
		s.settleCommitted(conn)
	}
	s.changes = s.changes[:0]
	s.rolledBack = false
}

// settleAtOnce takes the changes that don't wait for a commit.
func (s *session) settleAtOnce(result answer, conn *backend.Conn) {
	for _, change := range s.changes {
		switch change.verb {
		case verbPin:
			s.pin(conn)
		case VerbRollbackTo:
			// Which settings a savepoint keeps isn't tracked, so the
			// connection keeps them.
			if len(s.changes) > 1 {
				s.pin(conn)
			}
		case VerbDeallocate, VerbDiscard:
			if change.name == "all" {
				s.forgetPrepared(result, conn)
			}
		}
	}
}

// forgetPrepared takes the effect of DEALLOCATE ALL or DISCARD ALL. After an
// error it isn't known whether they ran, so the connection isn't used again.
func (s *session) forgetPrepared(result answer, conn *backend.Conn) {
	if result.code != "" {
		conn.Retire()
		return
	}
	clear(s.prepared)
	s.preparedSize = 0
	conn.Forget()
}

func (s *session) settleCommitted(conn *backend.Conn) {
	reset := false
	changed := false
	for _, change := range s.changes {
		switch change.verb {
		case VerbReset, VerbDiscard:
			reset = true
			s.applySettings(change)
		case VerbSet:
			changed = true
			s.applySettings(change)
		}
	}
	switch {
	case reset:
		conn.SetProfileUnknown()
	case changed:
		conn.SetProfile(s.profile)
	}
}

// pin keeps the connection for the session until it ends.
func (s *session) pin(conn *backend.Conn) {
	s.pinned = true
	conn.Touch()
}

// dropChanges forgets the changes of a request that failed.
func (s *session) dropChanges() {
	s.changes = s.changes[:0]
}

// stoppedNow reports whether the session is to end.
func (s *session) stoppedNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped != ""
}

func (c *Classification) usesSequenceState() bool {
	for s := range c.statements {
		if s.ReadsSequenceState {
			return true
		}
	}
	return false
}

func unsupported(text string) error {
	return &Error{Op: "check", Kind: KindUnsupported, Err: errors.New(text)}
}
