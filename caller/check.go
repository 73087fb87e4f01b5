package caller

import (
	"errors"

	"github.com/nutmegpier/nutmegpier/backend"
)

// checkStatements refuses statements that can't run over a shared connection and
// returns the SQL to send to the server. Settings of the proxy itself and
// DEALLOCATE of a statement of the session are applied here; a statement without
// effect is sent in their place.
func (s *session) checkStatements(class *Classification, sql string) (string, error) {
	if reason := class.RefusalReason(); reason != "" {
		return "", unsupported(reason)
	}
	if class.usesSequenceState() && s.txStatus == backend.TxIdle && !s.pinned {
		return "", unsupported("currval and lastval need a transaction over shared connections")
	}
	first := &class.First
	proxySetting := (first.Verb == VerbSet || first.Verb == VerbReset) && isProxySetting(first.Name)
	knownStatement := first.Verb == VerbDeallocate && s.prepared[first.Name] != nil
	if len(class.Rest) > 0 {
		s.pinMixed(class)
		return sql, checkSingle(class)
	}
	switch {
	case proxySetting && first.Verb == VerbSet && first.Name != "application_name":
		return noOpSQL, s.applyProxySetting(first.Name, first.Value)
	case proxySetting && first.Name == maxAgeSetting:
		s.maxAge = 0
		return noOpSQL, nil
	case proxySetting:
		return noOpSQL, nil
	case knownStatement:
		s.dropPrepared(first.Name)
		return noOpSQL, nil
	}
	return sql, nil
}

// pinMixed pins the connection if the SQL text both controls transactions and
// changes settings, since it isn't tracked which settings the transactions inside
// one text commit.
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

// checkSingle refuses statements that may only be sent on their own.
func checkSingle(class *Classification) error {
	for s := range class.statements {
		if (s.Verb == VerbSet || s.Verb == VerbReset) && isProxySetting(s.Name) {
			return unsupported("setting " + s.Name + " must be the only statement of a query")
		}
	}
	return nil
}

// recordChanges records the changes of the session state that take effect if the
// statements succeed.
func (s *session) recordChanges(class *Classification) {
	for statement := range class.statements {
		switch statement.Verb {
		case VerbSet, VerbReset:
			if !isProxySetting(statement.Name) {
				s.pendingChanges = append(s.pendingChanges, changeOf(statement))
			}
		case VerbDeallocate, VerbDiscard, VerbRollbackTo:
			s.pendingChanges = append(s.pendingChanges, changeOf(statement))
		}
		if statement.Pins {
			s.pendingChanges = append(s.pendingChanges, settingChange{verb: verbPin})
		}
	}
}

// changesSession reports whether recordChanges would record any change.
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

// verbPin marks a recorded change that pins the connection.
const verbPin Verb = "Pin"

// applyChanges applies the recorded changes of a completed request to the session.
func (s *session) applyChanges(r *request, result relayResult, conn *backend.Conn) {
	if r.mayChangeSession {
		conn.MarkStateChanged()
	}
	s.applyImmediateChanges(result, conn)
	if s.txStatus != backend.TxIdle {
		return
	}
	if result.code == "" && !s.rolledBack {
		s.applyCommittedChanges(conn)
	}
	s.pendingChanges = s.pendingChanges[:0]
	s.rolledBack = false
}

// applyImmediateChanges applies the changes that take effect without a commit.
func (s *session) applyImmediateChanges(result relayResult, conn *backend.Conn) {
	for _, change := range s.pendingChanges {
		switch change.verb {
		case verbPin:
			s.pin(conn)
		case VerbRollbackTo:
			// The effect of savepoints on settings isn't tracked, so the session
			// keeps this connection.
			if len(s.pendingChanges) > 1 {
				s.pin(conn)
			}
		case VerbDeallocate, VerbDiscard:
			if change.name == "all" {
				s.clearPrepared(result, conn)
			}
		}
	}
}

// clearPrepared applies a DEALLOCATE ALL or DISCARD ALL. After an error it is
// unknown whether it ran, so the connection isn't reused.
func (s *session) clearPrepared(result relayResult, conn *backend.Conn) {
	if result.code != "" {
		conn.MarkBroken()
		return
	}
	clear(s.prepared)
	s.preparedSize = 0
	conn.ClearPrepared()
}

// applyCommittedChanges applies the changes of settings that a commit made
// permanent, and tells the connection which settings it has now.
func (s *session) applyCommittedChanges(conn *backend.Conn) {
	reset := false
	changed := false
	for _, change := range s.pendingChanges {
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
		conn.SetSettingsUnknown()
	case changed:
		conn.SetSettings(s.settingsSQL)
	}
}

// pin reserves the connection for the session until the session ends.
func (s *session) pin(conn *backend.Conn) {
	s.pinned = true
	conn.MarkStateChanged()
}

// discardChanges discards the recorded changes of a failed request.
func (s *session) discardChanges() {
	s.pendingChanges = s.pendingChanges[:0]
}

// isStopping reports whether the session was asked to end.
func (s *session) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopReason != ""
}

// usesSequenceState reports whether a statement calls currval or lastval.
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
