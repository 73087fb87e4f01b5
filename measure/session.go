package measure

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// requestTimeout bounds one request. It is above the commit bound, so that
	// the proxy reports an unknown outcome before the client gives up.
	requestTimeout = 10 * time.Second
	// codeConnection is the code of errors without an SQLSTATE in the results.
	codeConnection = "connection"
	// codeShutdown and codeNotServing are the SQLSTATEs with which an instance tells
	// a client to use another instance.
	codeShutdown   = "57P01"
	codeNotServing = "57P03"
	// codeRateExceeded is the SQLSTATE of requests above the rate limit.
	codeRateExceeded = "53400"
)

// session is a client session that keeps its session token when it switches to another
// instance. It is not safe for concurrent use.
type session struct {
	conn     *pgconn.PgConn
	database fleet.GroupID
	key      demo.WorkspaceKey
	// movedRequests counts the requests that were sent again to another instance
	// because an instance that accepts no new work did not run them.
	movedRequests int
	// instanceIndex, modulo the number of instances, is the index of the instance.
	instanceIndex int
	// switchEvery is the number of requests after which the session switches to the
	// next instance. Zero means never.
	switchEvery int
	// token is the latest session token that an instance reported.
	token string
	// requests counts the requests, of which each counts once also if it was moved.
	requests int
	testbed  *testbed
}

func newSession(tb *testbed, key demo.WorkspaceKey, database fleet.GroupID, instanceIndex, switchEvery int) *session {
	return &session{database: database, key: key, instanceIndex: instanceIndex, switchEvery: switchEvery, testbed: tb}
}

// close closes the connection, if there is one.
func (s *session) close() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// connect opens a connection to the current instance if there is none.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	config, err := pgconn.ParseConfig(s.testbed.demo.URL(s.instance(), s.key, s.database) + "?sslmode=disable")
	if err != nil {
		return err
	}
	if s.token != "" {
		config.RuntimeParams[caller.TokenParameter] = s.token
	}
	s.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

// instance returns the current instance of the session.
func (s *session) instance() fleet.InstanceID {
	return s.testbed.instances[s.instanceIndex%len(s.testbed.instances)]
}

// exec runs a statement. If an instance did not run it because it accepts no new work,
// the statement is sent to the next instance, and to each instance at most once.
func (s *session) exec(ctx context.Context, sql string) ([]*pgconn.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s.requests++
	if s.switchEvery > 0 && s.requests%s.switchEvery == 0 {
		s.switchInstance()
	}
	var err error
	for range s.testbed.instances {
		var results []*pgconn.Result
		results, err = s.execOnce(ctx, sql)
		if err == nil {
			return results, nil
		}
		if !canRunElsewhere(err) {
			return nil, err
		}
		s.movedRequests++
		s.switchInstance()
	}
	return nil, err
}

// switchInstance closes the connection and makes the next instance the current one.
func (s *session) switchInstance() {
	s.close()
	s.instanceIndex++
}

// execOnce runs a statement on the current instance and keeps the session token that
// the instance reports.
func (s *session) execOnce(ctx context.Context, sql string) ([]*pgconn.Result, error) {
	if err := s.connect(ctx); err != nil {
		return nil, err
	}
	results, err := s.conn.Exec(ctx, sql).ReadAll()
	if token := s.conn.ParameterStatus(caller.TokenParameter); token != "" {
		s.token = token
	}
	if err == nil && len(results) > 0 {
		err = results[len(results)-1].Err
	}
	return results, err
}

// canRunElsewhere reports whether a request that failed can be sent to another instance:
// its instance accepts no new work and did not run it.
func canRunElsewhere(err error) bool {
	code := codeOf(err)
	if code != codeShutdown && code != codeNotServing {
		return false
	}
	return outcomeOf(err) == caller.OutcomeNotRun || isConnectError(err)
}

func isConnectError(err error) bool {
	var connectError *pgconn.ConnectError
	return errors.As(err, &connectError)
}

// codeOf returns the SQLSTATE of an error, or codeConnection if it has none.
func codeOf(err error) string {
	var reported *pgconn.PgError
	if errors.As(err, &reported) {
		return reported.Code
	}
	return codeConnection
}

// outcomeOf returns the outcome that the proxy reports in the detail of an error. The
// outcome of other errors is unknown, unless the request was certainly not sent.
func outcomeOf(err error) caller.Outcome {
	var reported *pgconn.PgError
	if errors.As(err, &reported) {
		if _, after, found := strings.Cut(reported.Detail, "Outcome: "); found {
			return caller.Outcome(strings.Fields(after)[0])
		}
	}
	if isConnectError(err) || pgconn.SafeToRetry(err) {
		return caller.OutcomeNotRun
	}
	return caller.OutcomeUnknown
}
