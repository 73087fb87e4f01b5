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
	// codeConnection stands for an error without an SQLSTATE.
	codeConnection = "connection"
	// codeShutdown and codeNotServing tell a client to go to another instance.
	codeShutdown   = "57P01"
	codeNotServing = "57P03"
	codeRate       = "53400"
)

// session is a client session that takes its token from instance to instance.
// It is used by one goroutine.
type session struct {
	conn     *pgconn.PgConn
	database fleet.GroupID
	key      demo.WorkspaceKey
	// moves counts the requests that were sent again because the instance did
	// not run them for its shutdown.
	moves int
	place int
	// roamEvery is the number of requests after which the session goes to the
	// next instance. Zero means never.
	roamEvery int
	token     string
	used      int
	world     *world
}

func newSession(w *world, key demo.WorkspaceKey, database fleet.GroupID, place, roamEvery int) *session {
	return &session{database: database, key: key, place: place, roamEvery: roamEvery, world: w}
}

// close ends the connection.
func (s *session) close() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// connect opens a connection if there is none.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	config, err := pgconn.ParseConfig(s.world.demo.URL(s.instance(), s.key, s.database) + "?sslmode=disable")
	if err != nil {
		return err
	}
	if s.token != "" {
		config.RuntimeParams[caller.TokenParameter] = s.token
	}
	s.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

// instance returns the instance that the session uses.
func (s *session) instance() fleet.InstanceID {
	return s.world.instances[s.place%len(s.world.instances)]
}

// exec runs a statement. A request that an instance did not run because it
// takes no new work is sent to each other instance at most once.
func (s *session) exec(ctx context.Context, sql string) ([]*pgconn.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s.used++
	if s.roamEvery > 0 && s.used%s.roamEvery == 0 {
		s.move()
	}
	var err error
	for range s.world.instances {
		var results []*pgconn.Result
		results, err = s.try(ctx, sql)
		if err == nil {
			return results, nil
		}
		if !mayMove(err) {
			return nil, err
		}
		s.moves++
		s.move()
	}
	return nil, err
}

func (s *session) move() {
	s.close()
	s.place++
}

func (s *session) try(ctx context.Context, sql string) ([]*pgconn.Result, error) {
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

// mayMove reports whether another instance can run the request.
func mayMove(err error) bool {
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

// codeOf returns the SQLSTATE of an error.
func codeOf(err error) string {
	var reported *pgconn.PgError
	if errors.As(err, &reported) {
		return reported.Code
	}
	return codeConnection
}

// outcomeOf returns the outcome that an error states. An error without an
// outcome leaves it unknown, unless nothing was sent.
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
