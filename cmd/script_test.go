package cmd_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/nutmegpier/nutmegpier/cmd"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const token = "script-token"

// scriptTime is the time of all events and publications in the scripts.
var scriptTime = time.Date(2026, 3, 2, 6, 30, 0, 0, time.UTC)

// memoryPublisher stores sheets in memory. The comment of a publication selects an
// outcome that would be hard to cause otherwise.
type memoryPublisher struct {
	mu     sync.Mutex
	sheets []operator.SheetVersion
}

func (p *memoryPublisher) List(context.Context, int) ([]operator.SheetSummary, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var history []operator.SheetSummary
	for i := len(p.sheets) - 1; i > 0; i-- {
		history = append(history, operator.SheetSummary{PublishedAt: scriptTime, Publisher: "test", Version: p.sheets[i].Version})
	}
	return history, nil
}

func (p *memoryPublisher) Publish(_ context.Context, request sheet.PublishRequest) (operator.Publication, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	head := p.sheets[len(p.sheets)-1]
	state := sheet.PublishState{Head: head.Version}
	if head.Version > 0 {
		current, err := sheet.Parse("head", []byte(head.Content))
		if err != nil {
			return operator.Publication{}, err
		}
		state.Current = current
	}
	decision := sheet.DecidePublish(state, request)
	published := operator.Publication{Changes: decision.Changes, Outcome: decision.Outcome, Problems: decision.Problems, Version: decision.Version}
	if !decision.Write {
		return published, nil
	}
	switch request.Comment {
	case "unknown":
		return operator.Publication{Outcome: sheet.OutcomeUnknown}, nil
	case "unconfirmed":
		published.Outcome = sheet.OutcomeStored
	default:
		published.Outcome = sheet.OutcomeAccepted
	}
	p.sheets = append(p.sheets, operator.SheetVersion{Content: request.Content, Version: decision.Version})
	return published, nil
}

func (p *memoryPublisher) Sheet(context.Context, fleet.SheetVersion) (operator.SheetVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sheets[len(p.sheets)-1], nil
}

func (p *memoryPublisher) Status() operator.Status {
	return operator.Status{DataCentre: "gt-1", Instance: "pier-1", Lifecycle: "Serving", Valid: true}
}

// TestMain makes the nutmegpier command available to scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"nutmegpier": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts guards against changes of the output and the exit statuses that
// operators and their scripts depend on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Cmds:                map[string]func(ts *testscript.TestScript, neg bool, args []string){"status": checkExitStatus},
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup:               setup,
	})
}

// checkExitStatus runs a command and checks its exit status: status N COMMAND...
func checkExitStatus(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		exit, isExit := err.(interface{ ExitCode() int })
		if !isExit {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit status %d, want %d", got, want)
	}
}

// setup starts the administration APIs of two instances for each script, and reserves
// a URL on which nothing listens.
func setup(env *testscript.Env) error {
	sum := sha256.Sum256([]byte(token))
	tokens := []settings.Token{{Role: settings.RolePublish, TokenSHA256: hex.EncodeToString(sum[:])}}
	publisher := &memoryPublisher{sheets: make([]operator.SheetVersion, 1)}
	for _, name := range []string{"1", "2"} {
		recorder := event.New(fleet.InstanceID("pier-"+name), 1, func() time.Time { return scriptTime }, event.NewLogger(io.Discard, "json", event.LevelInfo), 100)
		recorder.Record(event.InstanceServing, event.Fields{})
		server := httptest.NewServer(operator.New(operator.Config{
			Publisher: publisher, Recorder: recorder, Sheets: publisher, Status: publisher, Timeline: recorder,
			Tokens: func() []settings.Token { return tokens },
		}).Handler())
		env.Defer(server.Close)
		env.Setenv("ADMIN"+name, server.URL)
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	env.Setenv("CLOSED", closed.URL)
	return os.WriteFile(env.WorkDir+"/token", []byte(token+"\n"), 0o600)
}
