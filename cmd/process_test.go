package cmd_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/operator"
)

const (
	// processPoll is the time between looks at a condition of another process.
	processPoll = 20 * time.Millisecond
	// processTimeout bounds each wait for another process.
	processTimeout = time.Minute
)

// TestProcesses guards against a path that works only inside one process: it
// runs the stand-ins and each instance as processes of their own.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"awaitfile":   awaitFile,
			"adminurl":    setAdminURL,
			"awaitclosed": awaitClosed,
			"awaitevent":  awaitEvent,
			"awaitserved": awaitServed,
			"awaitstatus": awaitStatus,
			"hangup":      hangUp,
			"insession":   runInSession,
			"opensession": openSession,
			"sql":         runSQL,
			"status":      checkStatus,
			"timeline":    runTimeline,
		},
		Dir:                 "testdata/processes",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[sessionsKey{}] = make(map[string]*pgx.Conn)
			return nil
		},
	})
}

// sessionsKey is the key of a script's open sessions by name.
type sessionsKey struct{}

func sessions(ts *testscript.TestScript) map[string]*pgx.Conn {
	return ts.Value(sessionsKey{}).(map[string]*pgx.Conn)
}

// adminClient returns a client for the instance of a URL file.
func adminClient(ts *testscript.TestScript, urls, token string) *operator.Client {
	admin, _, _ := strings.Cut(ts.ReadFile(urls), "\n")
	return operator.NewClient(http.DefaultClient, admin, strings.TrimSpace(ts.ReadFile(token)))
}

// setAdminURL sets a variable to the administration URL of an instance:
// adminurl NAME URLFILE.
func setAdminURL(ts *testscript.TestScript, _ bool, args []string) {
	admin, _, _ := strings.Cut(ts.ReadFile(args[1]), "\n")
	ts.Setenv(args[0], admin)
}

// awaitClosed runs statements in a session until the connection is lost with
// an SQLSTATE: awaitclosed NAME SQLSTATE.
func awaitClosed(ts *testscript.TestScript, _ bool, args []string) {
	conn := sessions(ts)[args[0]]
	awaitCondition(ts, "end of session "+args[0], func(ctx context.Context) bool {
		_, err := conn.Exec(ctx, "SELECT 1")
		var refused *pgconn.PgError
		if errors.As(err, &refused) && refused.Code != args[1] {
			ts.Fatalf("session %s: SQLSTATE %s, want %s", args[0], refused.Code, args[1])
		}
		return err != nil && conn.IsClosed()
	})
}

// awaitEvent waits for an event of an instance whose text matches:
// awaitevent URLFILE TOKENFILE NUMBER PATTERN.
func awaitEvent(ts *testscript.TestScript, _ bool, args []string) {
	client := adminClient(ts, args[0], args[1])
	number, err := strconv.ParseUint(args[2], 10, 32)
	ts.Check(err)
	pattern := regexp.MustCompile(args[3])
	awaitCondition(ts, "event "+args[2], func(ctx context.Context) bool {
		events, err := client.Events(ctx, event.Filter{Number: event.Number(number)})
		if err != nil {
			return false
		}
		return slices.ContainsFunc(events, func(e event.Event) bool { return pattern.MatchString(e.Text) })
	})
}

// awaitStatus waits until the status of an instance, as status prints it,
// matches: awaitstatus URLFILE TOKENFILE PATTERN.
func awaitStatus(ts *testscript.TestScript, neg bool, args []string) {
	client := adminClient(ts, args[0], args[1])
	pattern := regexp.MustCompile("(?m)" + args[2])
	awaitCondition(ts, "status "+args[2], func(ctx context.Context) bool {
		status, err := client.Status(ctx)
		if err != nil {
			return false
		}
		var text strings.Builder
		ts.Check(status.Render(&text))
		return pattern.MatchString(text.String()) != neg
	})
}

// hangUp sends SIGHUP to a background command: hangup NAME.
func hangUp(ts *testscript.TestScript, _ bool, args []string) {
	for _, command := range ts.BackgroundCmds() {
		if slices.Contains(command.Args, args[0]) {
			ts.Check(command.Process.Signal(syscall.SIGHUP))
			return
		}
	}
	ts.Fatalf("no background command has the argument %s", args[0])
}

// openSession opens a session that stays open: opensession NAME URLFILE.
func openSession(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, strings.Split(ts.ReadFile(args[1]), "\n")[1])
	ts.Check(err)
	ts.Defer(func() { _ = conn.Close(context.Background()) })
	sessions(ts)[args[0]] = conn
}

// runInSession runs a statement in an open session: insession NAME STATEMENT.
func runInSession(ts *testscript.TestScript, neg bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	_, err := sessions(ts)[args[0]].Exec(ctx, args[1])
	if failed := err != nil; failed != neg {
		ts.Fatalf("%s: %v", args[1], err)
	}
}

// awaitFile waits until another process has written a file: awaitfile FILE.
func awaitFile(ts *testscript.TestScript, _ bool, args []string) {
	awaitCondition(ts, "file "+args[0], func(context.Context) bool {
		info, err := os.Stat(ts.MkAbs(args[0]))
		return err == nil && info.Size() > 0
	})
}

// awaitServed waits until an instance is valid and holds a share of each limit:
// awaitserved URLFILE TOKENFILE.
func awaitServed(ts *testscript.TestScript, _ bool, args []string) {
	client := adminClient(ts, args[0], args[1])
	awaitCondition(ts, "instance of "+args[0], func(ctx context.Context) bool {
		status, err := client.Status(ctx)
		if err != nil || !status.Valid || len(status.Workspaces) == 0 {
			return false
		}
		for _, workspace := range status.Workspaces {
			if workspace.Share == 0 {
				return false
			}
		}
		return true
	})
}

// runSQL runs a statement through the instance of a URL file and prints its
// rows: sql URLFILE STATEMENT.
func runSQL(ts *testscript.TestScript, neg bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	lines := strings.Split(ts.ReadFile(args[0]), "\n")
	conn, err := pgx.Connect(ctx, lines[1])
	ts.Check(err)
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, args[1])
	ts.Check(err)
	for rows.Next() {
		values, err := rows.Values()
		ts.Check(err)
		fmt.Fprintln(ts.Stdout(), values...)
	}
	if failed := rows.Err() != nil; failed != neg {
		ts.Fatalf("%s: %v", args[1], rows.Err())
	}
}

// runTimeline shows events through an instance: timeline URLFILE TOKENFILE FLAG...
func runTimeline(ts *testscript.TestScript, _ bool, args []string) {
	admin, _, _ := strings.Cut(ts.ReadFile(args[0]), "\n")
	ts.Check(ts.Exec("nutmegpier", append([]string{"timeline", "--admin", admin, "--token-file", args[1]}, args[2:]...)...))
}

func awaitCondition(ts *testscript.TestScript, name string, met func(ctx context.Context) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	ticker := time.NewTicker(processPoll)
	defer ticker.Stop()
	for !met(ctx) {
		select {
		case <-ctx.Done():
			ts.Fatalf("%s: not there after %v", name, processTimeout)
		case <-ticker.C:
		}
	}
}
