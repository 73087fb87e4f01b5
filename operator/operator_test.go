package operator_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// store is a Publisher and Sheets that keeps the sheets in memory.
type store struct {
	// beforePublish runs at the start of each publication.
	beforePublish func()
	err           error
	history       []operator.SheetSummary
	// lag is the number of versions by which the version returned as the newest lags
	// behind the head.
	lag     int
	mu      sync.Mutex
	outcome sheet.Outcome
	sheets  []operator.SheetVersion
}

func (s *store) List(_ context.Context, limit int) ([]operator.SheetSummary, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history[:min(limit, len(s.history))], s.err
}

func (s *store) Publish(_ context.Context, request sheet.PublishRequest) (operator.Publication, error) {
	if s.beforePublish != nil {
		s.beforePublish()
	}
	if s.err != nil {
		return operator.Publication{}, s.err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	head := s.sheets[len(s.sheets)-1]
	current, err := sheet.Parse("f", []byte(head.Content))
	if err != nil && head.Version > 0 {
		return operator.Publication{}, err
	}
	decision := sheet.DecidePublish(sheet.PublishState{Current: current, Head: head.Version}, request)
	publication := operator.Publication{Changes: decision.Changes, Outcome: decision.Outcome, Problems: decision.Problems, Version: decision.Version}
	if decision.Write {
		publication.Outcome = s.outcome
		s.sheets = append(s.sheets, operator.SheetVersion{Content: request.Content, Version: decision.Version})
		s.history = append([]operator.SheetSummary{{Comment: request.Comment, PublishedAt: start, Publisher: request.Publisher, Version: decision.Version}}, s.history...)
	}
	return publication, nil
}

func (s *store) Sheet(_ context.Context, version fleet.SheetVersion) (operator.SheetVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 {
		return s.sheets[max(len(s.sheets)-1-s.lag, 0)], nil
	}
	if int(version) >= len(s.sheets) {
		return operator.SheetVersion{}, operator.ErrNoSheet
	}
	return s.sheets[version], nil
}

type fixedStatus operator.Status

func (s fixedStatus) Status() operator.Status { return operator.Status(s) }

var start = time.Date(2026, 3, 2, 6, 30, 0, 0, time.UTC)

var exampleStatus = operator.Status{
	Groups: []operator.GroupStatus{{Group: "orders", Servers: []operator.ServerStatus{{
		Applied: fleet.Position{Term: 2, Log: 9}, ConnectionLimit: 20, Connections: 3, Lag: 1, Log: fleet.Position{Term: 2, Log: 10}, Role: "Replica", Server: "orders-1", Term: 2,
	}}}},
	Drains:    []operator.DrainStatus{{Kind: "DataCentre", Name: "gt-2", Remaining: 1}},
	Instances: []operator.InstanceStatus{{Address: "127.0.0.2:6433", DataCentre: "gt-2", Epoch: 7, Instance: "pier-2", RosterGeneration: 3, SheetVersion: 1, SilenceMs: 250, State: "Live"}},
	Pools:     []operator.PoolStatus{{Busy: 1, Idle: 2, Permits: 4, Server: "orders-1"}},
	Instance:  "pier-1", Lifecycle: "Serving", SheetVersion: 1, Valid: true,
	Workspaces: []operator.WorkspaceStatus{{Admitted: 70, Rate: 200, Refused: 2, Share: 25, Workspace: "die-room"}},
}

// testServer is an HTTP server for the administration API with a token for each role.
type testServer struct {
	recorder *event.Recorder
	store    *store
	url      string
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	d := &testServer{
		recorder: event.New("pier-1", 1, func() time.Time { return start }, event.NewLogger(io.Discard, "json", event.LevelInfo), 100),
		store:    &store{outcome: sheet.OutcomeAccepted, sheets: make([]operator.SheetVersion, 1)},
	}
	var tokens []settings.Token
	for _, role := range []settings.Role{settings.RoleRead, settings.RoleOperate, settings.RolePublish} {
		sum := sha256.Sum256([]byte("token-" + role))
		tokens = append(tokens, settings.Token{Role: role, TokenSHA256: hex.EncodeToString(sum[:])})
	}
	server := httptest.NewServer(operator.New(operator.Config{
		Publisher: d.store, Recorder: d.recorder, Sheets: d.store, Status: fixedStatus(exampleStatus), Timeline: d.recorder,
		Tokens: func() []settings.Token { return tokens },
	}).Handler())
	t.Cleanup(server.Close)
	d.url = server.URL
	return d
}

func (d *testServer) client(role settings.Role) *operator.Client {
	return operator.NewClient(http.DefaultClient, d.url, "token-"+string(role))
}

func kindOf(t *testing.T, err error) operator.Kind {
	t.Helper()
	var failed *operator.Error
	if err != nil && !errors.As(err, &failed) {
		t.Fatalf("error is %T, want *operator.Error", err)
	}
	if failed == nil {
		return ""
	}
	return failed.Kind
}

// TestDrainKeepsRacingPublication guards against a drain that overwrites a sheet that
// another operator published after the drain had read the previous one.
func TestDrainKeepsRacingPublication(t *testing.T) {
	d := newTestServer(t)
	races := 2
	d.store.beforePublish = func() {
		if races--; races < 0 {
			return
		}
		d.store.mu.Lock()
		defer d.store.mu.Unlock()
		version := len(d.store.sheets)
		content := strings.Repeat(" ", version) + `{"Format": 1, /* other */ "Servers": [{"Server": "s-1", "State": "Leaving"}]}`
		d.store.sheets = append(d.store.sheets, operator.SheetVersion{Content: content, Version: fleet.SheetVersion(version)})
	}
	got, err := d.client(settings.RoleOperate).DrainDataCentre(t.Context(), "gt-2", false)
	if err != nil {
		t.Fatal(err)
	}
	want := operator.Publication{Changes: []string{"+ DataCentres[gt-2].State: Out"}, Outcome: sheet.OutcomeAccepted, Version: 3}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("publication (-want +got):\n%s", diff)
	}
	content := d.store.sheets[3].Content
	if !strings.Contains(content, "s-1") || !strings.Contains(content, "/* other */") {
		t.Errorf("drain lost the other change: %s", content)
	}
	if got, err = d.client(settings.RoleOperate).RestoreServer(t.Context(), "s-1"); err != nil || got.Version != 4 {
		t.Errorf("restore: %+v, %v", got, err)
	}
	d.store.beforePublish = func() {
		d.store.sheets = append(d.store.sheets, operator.SheetVersion{Content: `{"Format": 1}`, Version: fleet.SheetVersion(len(d.store.sheets))})
	}
	if got, err = d.client(settings.RoleOperate).DrainServer(t.Context(), "s-1", false); err != nil || got.Outcome != sheet.OutcomeConflict {
		t.Errorf("drain that always conflicts: %+v, %v", got, err)
	}
	var audited []event.Name
	for _, e := range d.recorder.Events(event.Filter{Limit: 7}) {
		audited = append(audited, e.Name)
	}
	wantAudited := []event.Name{"SheetPublished", "DrainRequested", "SheetNotPublished", "SheetNotPublished", "SheetNotPublished", "SheetNotPublished", "SheetNotPublished"}
	if diff := cmp.Diff(wantAudited, audited); diff != "" {
		t.Errorf("audit events (-want +got):\n%s", diff)
	}
}

// TestDrainOnLaggingInstance guards against a drain that conflicts in each attempt
// because the version that is read as the newest is outdated.
func TestDrainOnLaggingInstance(t *testing.T) {
	d := newTestServer(t)
	for base := range fleet.SheetVersion(3) {
		if _, err := d.client(settings.RolePublish).Publish(t.Context(), sheet.PublishRequest{Base: base, Content: `{"Format": 1}`}); err != nil {
			t.Fatal(err)
		}
	}
	d.store.lag = 2
	got, err := d.client(settings.RoleOperate).DrainServer(t.Context(), "s-1", false)
	want := operator.Publication{Changes: []string{"+ Servers[s-1].State: Leaving"}, Outcome: sheet.OutcomeAccepted, Version: 4}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("publication, error %v (-want +got):\n%s", err, diff)
	}
}

// TestErrorsSayWhetherItTookEffect guards against a lost response that is reported as
// a call without effect, against a call without effect that is reported as unknown,
// and against keys in errors.
func TestErrorsSayWhetherItTookEffect(t *testing.T) {
	d := newTestServer(t)
	request := sheet.PublishRequest{Content: `{"Format": 1}`}
	publish := func(url string) operator.Kind {
		_, err := operator.NewClient(http.DefaultClient, url, "token-Publish").Publish(t.Context(), request)
		return kindOf(t, err)
	}
	d.store.err = errors.New("store is down for npk_ab12_s3cr3t")
	refused := publish(d.url)
	lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer lost.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	want := []operator.Kind{operator.KindUnavailable, operator.KindUnknownOutcome, operator.KindUnavailable}
	if diff := cmp.Diff(want, []operator.Kind{refused, publish(lost.URL), publish(closed.URL)}); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
	_, err := d.client(settings.RoleRead).Sheets(t.Context(), 1)
	if err == nil || strings.Contains(err.Error(), "s3cr3t") {
		t.Errorf("error contains a key: %v", err)
	}
}

// TestPlainHTTP guards against an API that cannot be called with plain HTTP and JSON.
func TestPlainHTTP(t *testing.T) {
	d := newTestServer(t)
	post := func(procedure, token, body string) (int, map[string]any) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.url+"/nutmegpier.v1.AdminService/"+procedure, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		var answer map[string]any
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, answer
	}
	code, answer := post("PublishSheet", "token-Publish", `{"content": "{\"Format\": 1}", "comment": "morning"}`)
	if diff := cmp.Diff([]any{200, map[string]any{"outcome": "Accepted", "version": "1"}}, []any{code, answer}); diff != "" {
		t.Errorf("publish (-want +got):\n%s", diff)
	}
	code, answer = post("Drain", "token-Read", `{"server": "s-1"}`)
	if diff := cmp.Diff([]any{403, "permission_denied"}, []any{code, answer["code"]}); diff != "" {
		t.Errorf("drain (-want +got):\n%s", diff)
	}
}

// TestReads guards against fields that are lost in the conversion of responses.
func TestReads(t *testing.T) {
	d := newTestServer(t)
	if _, err := d.client(settings.RolePublish).Publish(t.Context(), sheet.PublishRequest{Comment: "morning", Content: `{"Format": 1}`}); err != nil {
		t.Fatal(err)
	}
	client := d.client(settings.RoleRead)
	status, statusErr := client.Status(t.Context())
	events, eventsErr := client.Events(t.Context(), event.Filter{Number: event.SheetPublished})
	found, sheetErr := client.Sheet(t.Context(), 0)
	history, historyErr := client.Sheets(t.Context(), 0)
	if err := errors.Join(statusErr, eventsErr, sheetErr, historyErr); err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256([]byte("token-Publish"))
	want := []any{
		exampleStatus, d.recorder.Events(event.Filter{}),
		operator.SheetVersion{Content: `{"Format": 1}`, Version: 1},
		[]operator.SheetSummary{{Comment: "morning", PublishedAt: start, Publisher: "Publish/" + hex.EncodeToString(sum[:4]), Version: 1}},
	}
	if diff := cmp.Diff(want, []any{status, events, found, history}); diff != "" {
		t.Errorf("reads (-want +got):\n%s", diff)
	}
	_, err := client.Sheet(t.Context(), 9)
	if diff := cmp.Diff(operator.KindNotFound, kindOf(t, err)); diff != "" {
		t.Errorf("missing version (-want +got):\n%s", diff)
	}
}

// TestRender guards against missing tables, rows and columns in the text form of the
// status.
func TestRender(t *testing.T) {
	var out bytes.Buffer
	if err := exampleStatus.Render(&out); err != nil {
		t.Fatal(err)
	}
	want := `Instance pier-1, data centre , Serving, valid true, sheet 1, roster 0

INSTANCE  DATA CENTRE  STATE  SHEET  ROSTER  SILENCE  ADDRESS
pier-2    gt-2         Live   1      3       250 ms   127.0.0.2:6433

DATABASE  SERVER    DATA CENTRE  ROLE     TERM  LOG   APPLIED  LAG  CONNECTIONS  SILENCE
orders    orders-1               Replica  2     2/10  2/9      1    3/20         0 ms

POOL      BUSY  IDLE  OPENING  PINNED  PERMITS  WAITING
orders-1  1     2     0        0       4        0

WORKSPACE  RATE     SHARE   ADMITTED  REFUSED  REFUSED IN RATE
die-room   200.0/s  25.0/s  70        2        0

OUT OF SERVICE  NAME  REMAINING
DataCentre      gt-2  1
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("tables (-want +got):\n%s", diff)
	}
}

// TestRoles guards against a token that permits more or less than its role, and
// against calls that succeed with an unknown token.
func TestRoles(t *testing.T) {
	d := newTestServer(t)
	for role, want := range map[settings.Role][]operator.Kind{
		"Other":              {operator.KindUnauthenticated, operator.KindUnauthenticated, operator.KindUnauthenticated},
		settings.RoleRead:    {"", operator.KindDenied, operator.KindDenied},
		settings.RoleOperate: {"", "", operator.KindDenied},
		settings.RolePublish: {"", "", ""},
	} {
		client := d.client(role)
		_, readErr := client.Status(t.Context())
		_, operateErr := client.DrainServer(t.Context(), "s-1", false)
		_, publishErr := client.Publish(t.Context(), sheet.PublishRequest{Content: `{"Format": 1}`, DryRun: true})
		got := []operator.Kind{kindOf(t, readErr), kindOf(t, operateErr), kindOf(t, publishErr)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("role %s (-want +got):\n%s", role, diff)
		}
	}
}
