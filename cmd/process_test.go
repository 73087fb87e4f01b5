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
	// processPollInterval is the interval at which a condition of another process
	// is checked.
	processPollInterval = 20 * time.Millisecond
	// processTimeout bounds each wait for another process.
	processTimeout = time.Minute
)

// TestProcesses guards against features that work only if all instances run in one
// process: it runs the stand-ins and each instance as separate processes.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"awaitfile":   awaitFile,
			"adminurl":    setAdminURL,
			"awaitclosed": awaitClosed,
			"awaitevent":  awaitEvent,
			"awaitserved": awaitServing,
			"awaitstatus": awaitStatus,
			"hangup":      sendHangup,
			"insession":   runInSession,
			"opensession": openSession,
			"sql":         runSQL,
			"status":      checkExitStatus,
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

// sessionsKey is the key under which a script's open sessions are stored by name.
type sessionsKey struct{}

func sessions(ts *testscript.TestScript) map[string]*pgx.Conn {
	return ts.Value(sessionsKey{}).(map[string]*pgx.Conn)
}

// adminClient returns a client for the administration API of the instance whose URLs
// are in a file: the administration URL, and then the connection URLs.
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

// awaitClosed runs statements in a session until the server closes it with an
// SQLSTATE: awaitclosed NAME SQLSTATE.
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

// awaitEvent waits until an instance has recorded an event whose text matches:
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

// awaitStatus waits until the status of an instance, as the status command prints it,
// matches: awaitstatus URLFILE TOKENFILE PATTERN. Negated, it waits until the status
// does not match.
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

// sendHangup sends SIGHUP to a background command: hangup NAME.
func sendHangup(ts *testscript.TestScript, _ bool, args []string) {
	for _, command := range ts.BackgroundCmds() {
		if slices.Contains(command.Args, args[0]) {
			ts.Check(command.Process.Signal(syscall.SIGHUP))
			return
		}
	}
	ts.Fatalf("no background command has the argument %s", args[0])
}

// openSession opens a session that stays open until the script ends:
// opensession NAME URLFILE.
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

// awaitFile waits until another process has written to a file: awaitfile FILE.
func awaitFile(ts *testscript.TestScript, _ bool, args []string) {
	awaitCondition(ts, "file "+args[0], func(context.Context) bool {
		info, err := os.Stat(ts.MkAbs(args[0]))
		return err == nil && info.Size() > 0
	})
}

// awaitServing waits until an instance has a validity lease and holds a share of each
// rate limit: awaitserved URLFILE TOKENFILE.
func awaitServing(ts *testscript.TestScript, _ bool, args []string) {
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

// runSQL runs a statement through an instance and prints the rows:
// sql URLFILE STATEMENT.
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

// runTimeline runs the timeline command on an instance:
// timeline URLFILE TOKENFILE FLAG...
func runTimeline(ts *testscript.TestScript, _ bool, args []string) {
	admin, _, _ := strings.Cut(ts.ReadFile(args[0]), "\n")
	ts.Check(ts.Exec("nutmegpier", append([]string{"timeline", "--admin", admin, "--token-file", args[1]}, args[2:]...)...))
}

// awaitCondition waits until the condition is met, and fails the script after
// processTimeout.
func awaitCondition(ts *testscript.TestScript, name string, condition func(ctx context.Context) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	ticker := time.NewTicker(processPollInterval)
	defer ticker.Stop()
	for !condition(ctx) {
		select {
		case <-ctx.Done():
			ts.Fatalf("%s: not met after %v", name, processTimeout)
		case <-ticker.C:
		}
	}
}
