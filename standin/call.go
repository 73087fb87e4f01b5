package standin

import (
	"context"
	"errors"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// statusColumns are the columns of SHOW group_status.
var statusColumns = []string{
	"server", "role", "term", "promised_term", "promised_to", "log_term", "log_position", "applied_term",
	"applied_position", "primary_contact_ms", "history", "connections", "connection_limit",
}

// callPattern matches a CALL of a control procedure with one to three arguments.
var callPattern = regexp.MustCompile(`(?is)^call\s+(\w+)\s*\(\s*([^,()]*?)\s*(?:,\s*('(?:[^']|'')*'|[^,()']*?)\s*)?(?:,\s*([^,()]*?)\s*)?\)\s*$`)

// statusRow returns the row of SHOW group_status. If granted is not nil, a column
// "granted" precedes the others.
func (c *session) statusRow(granted *bool) *resultSet {
	names := statusColumns
	status := c.server.Status()
	values := []string{
		string(status.Server),
		string(status.Role),
		formatUint(status.Term),
		formatUint(status.PromisedTerm),
		string(status.PromisedTo),
		formatUint(status.Log.Term),
		formatUint(status.Log.Log),
		formatUint(status.Applied.Term),
		formatUint(status.Applied.Log),
		strconv.FormatInt(status.PrimaryContact.Milliseconds(), 10),
		status.History.String(),
		strconv.Itoa(status.Connections),
		strconv.Itoa(status.ConnectionLimit),
	}
	if granted != nil {
		names = append([]string{"granted"}, names...)
		values = append([]string{boolText(*granted)}, values...)
	}
	return textRow(names, values)
}

func formatUint[N ~uint64](n N) string {
	return strconv.FormatUint(uint64(n), 10)
}

// runCall runs a control procedure: group_wait, group_fence or group_promote.
func (c *session) runCall(ctx context.Context, s *statement) (*resultSet, error) {
	m := callPattern.FindStringSubmatch(s.text)
	if m == nil {
		return nil, newSQLError(codeSyntax, "syntax error in CALL")
	}
	if !c.control {
		return nil, newSQLError(codeUndefinedFunction, "procedure %s is only for control connections", m[1])
	}
	name := strings.ToLower(m[1])
	termNumber, err := strconv.ParseUint(m[2], 10, 64)
	if err != nil {
		return nil, newSQLError(codeInvalidText, "%s: the term is not a number", name)
	}
	term, holder := fleet.Term(termNumber), fleet.InstanceID(unquote(m[3]))
	switch name {
	case "group_wait":
		return c.callWait(ctx, term, m[3], m[4])
	case "group_fence":
		return c.callFence(ctx, term, holder, m[4])
	case "group_promote":
		return c.callPromote(term, holder)
	}
	return nil, newSQLError(codeUndefinedFunction, "procedure %s does not exist", name)
}

func (c *session) callWait(ctx context.Context, term fleet.Term, position, timeoutText string) (*resultSet, error) {
	log, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return nil, newSQLError(codeInvalidText, "group_wait: the position is not a number")
	}
	timeout, err := parseMillis(timeoutText)
	if err != nil {
		return nil, newSQLError(codeInvalidText, "group_wait: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.server.Wait(ctx, fleet.Position{Log: fleet.LogPosition(log), Term: term})
	return c.statusRow(nil), nil
}

func (c *session) callFence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, drainText string) (*resultSet, error) {
	drainTimeout, err := parseMillis(drainText)
	if err != nil {
		return nil, newSQLError(codeInvalidText, "group_fence: %v", err)
	}
	granted, _ := c.server.Fence(ctx, term, holder, drainTimeout)
	return c.statusRow(&granted), nil
}

func (c *session) callPromote(term fleet.Term, holder fleet.InstanceID) (*resultSet, error) {
	if _, err := c.server.Promote(term, holder); err != nil {
		return nil, newSQLError(codeNotPromised, "term %d is not promised to the holder", term)
	}
	return c.statusRow(nil), nil
}

// maxMillis is the largest duration in the arguments of a control procedure. It
// keeps the conversion to time.Duration from overflowing.
const maxMillis = 1 << 40

func parseMillis(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxMillis {
		return 0, errors.New("the duration is not a number of milliseconds")
	}
	return time.Duration(n) * time.Millisecond, nil
}
