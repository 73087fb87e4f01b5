package cmd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rogpeppe/go-internal/testscript"

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
			"awaitserved": awaitServed,
			"sql":         runSQL,
			"timeline":    runTimeline,
		},
		Dir:                 "testdata/processes",
		RequireExplicitExec: true,
	})
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
	admin, _, _ := strings.Cut(ts.ReadFile(args[0]), "\n")
	client := operator.NewClient(http.DefaultClient, admin, strings.TrimSpace(ts.ReadFile(args[1])))
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
