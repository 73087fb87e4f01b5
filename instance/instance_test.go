package instance_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/standin"
)

const (
	testDatabase  = "orders"
	testWorkspace = "die-room"
	testTimeout   = 20 * time.Second
)

// fixture is a group of stand-in servers with instances in front of it.
type fixture struct {
	group *standin.Group
	urls  []string
}

// newFixture starts a group of stand-in servers and instances in front of it.
func newFixture(t *testing.T, instances int) *fixture {
	t.Helper()
	servers, err := standin.NewGroup(standin.Options{ID: testDatabase, ReceiveDelay: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	if err := servers.Exec(ctx, "CREATE TABLE die_runs (id INTEGER PRIMARY KEY, press TEXT, sheets INTEGER)"); err != nil {
		t.Fatal(err)
	}
	salt, err := sheet.GenerateSalt(strings.NewReader(strings.Repeat("salt", 16)))
	if err != nil {
		t.Fatal(err)
	}
	key, err := sheet.GenerateKey(strings.NewReader(strings.Repeat("random", 32)), salt, 4096)
	if err != nil {
		t.Fatal(err)
	}
	published := sheet.Sheet{Format: 1, Workspaces: []sheet.Workspace{{
		Burst:      100,
		Databases:  []fleet.GroupID{testDatabase},
		Iterations: key.Iterations,
		Keys:       []sheet.Key{key.Verifier},
		Rate:       1000,
		Salt:       key.Salt,
		Weight:     1,
		Workspace:  testWorkspace,
	}}}
	f := &fixture{group: servers}
	platform := standin.NewPlatform()
	platformURL, stop, err := platform.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	store := metastore.NewClient(&http.Client{}, platformURL)
	publishFirstSheet(ctx, t, store, published)
	for number := range instances {
		address := f.startInstance(ctx, t, fleet.InstanceID(fmt.Sprintf("i%d", number+1)), platform, store)
		f.urls = append(f.urls, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", testWorkspace, key.Key, address, testDatabase))
	}
	return f
}

// publishFirstSheet writes the first sheet and the head row in the way the publisher
// does.
func publishFirstSheet(ctx context.Context, t *testing.T, store *metastore.Client, published sheet.Sheet) {
	t.Helper()
	content, err := json.Marshal(published)
	if err != nil {
		t.Fatal(err)
	}
	record, err := sheet.Record{Content: string(content), Publication: "first"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	head, err := json.Marshal(peer.Head{SheetVersion: 1})
	if err != nil {
		t.Fatal(err)
	}
	applied, _, err := store.Write(ctx, nil, []metastore.Row{{Key: peer.HeadKey, Value: head}, {Key: peer.SheetKey(1), Value: record}})
	if err != nil || !applied {
		t.Fatalf("Write = %t, %v, want the rows to be written", applied, err)
	}
}

// startInstance starts an instance, waits until it is ready, and returns its address
// for callers.
func (f *fixture) startInstance(ctx context.Context, t *testing.T, id fleet.InstanceID, platform *standin.Platform, store *metastore.Client) string {
	t.Helper()
	configured := settings.Settings{
		Backend:    settings.Backend{User: "proxy"},
		DataCentre: "gt-1",
		Detection: settings.Detection{
			DetectTime:      900 * time.Millisecond,
			PollInterval:    100 * time.Millisecond,
			SuspectInterval: 50 * time.Millisecond,
		},
		Groups:   []settings.Group{{Connections: 20, Group: testDatabase, Slots: 3}},
		Instance: id,
		Limits:   settings.Limits{QueueTimeout: 10 * time.Second},
		Listen:   settings.Listen{Admin: "127.0.0.1:0", Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Platform: settings.Platform{Timeout: time.Second},
		Timeouts: settings.Timeouts{
			CommitBound:   5 * time.Second,
			FreshWait:     5 * time.Millisecond,
			StopBound:     5 * time.Second,
			ValidityLease: 3 * time.Second,
		},
	}
	for _, server := range f.group.Servers() {
		configured.Groups[0].Servers = append(configured.Groups[0].Servers, settings.Server{
			Address:    server.Addr(),
			DataCentre: "gt-1",
			Server:     server.ID(),
		})
	}
	listeners, err := instance.Listen(configured.Listen)
	if err != nil {
		t.Fatal(err)
	}
	platform.AddInstance(metastore.Instance{
		DataCentre:  "gt-1",
		ID:          id,
		PeerAddress: listeners.Peers.Addr().String(),
		State:       metastore.InstanceLive,
	})
	epoch := fleet.Epoch(1)
	inst, err := instance.New(instance.Config{
		Dial:      (&net.Dialer{}).DialContext,
		Epoch:     epoch,
		Events:    event.New(id, epoch, time.Now, event.NewLogger(io.Discard, "text", event.LevelInfo), 100),
		Listeners: listeners,
		Now:       time.Now,
		PeerHTTP:  &http.Client{},
		Platform:  store,
		Random:    rand.New(rand.NewPCG(1, uint64(len(f.urls)))),
		Settings:  configured,
	})
	if err != nil {
		t.Fatal(err)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- inst.Run(runCtx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	if err := inst.AwaitReady(ctx); err != nil {
		t.Fatalf("AwaitReady: %v", err)
	}
	return listeners.Callers.Addr().String()
}

func connect(ctx context.Context, t *testing.T, url string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// TestWriteIsReadThroughAnotherInstance guards against a new session on another
// instance that brings no position token and does not see an acknowledged write.
func TestWriteIsReadThroughAnotherInstance(t *testing.T) {
	f := newFixture(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	writer := connect(ctx, t, f.urls[0])
	for number := range 10 {
		if _, err := writer.Exec(ctx, "INSERT INTO die_runs (press, sheets) VALUES ($1, $2)", "press-1", number); err != nil {
			t.Fatal(err)
		}
		reader := connect(ctx, t, f.urls[1])
		var sum, count int
		if err := reader.QueryRow(ctx, "SELECT sum(sheets), count(*) FROM die_runs WHERE press = $1", "press-1").Scan(&sum, &count); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]int{number * (number + 1) / 2, number + 1}, []int{sum, count}); diff != "" {
			t.Fatalf("sum and count of the written rows (-want +got):\n%s", diff)
		}
	}
}

// TestTransactionRollsBack guards against statements of a transaction that
// take effect although it was rolled back.
func TestTransactionRollsBack(t *testing.T) {
	f := newFixture(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn := connect(ctx, t, f.urls[0])
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO die_runs (press, sheets) VALUES ('press-2', 5)"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Rollback(ctx); err != nil {
		t.Fatal(err)
	}
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM die_runs").Scan(&count); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(0, count); diff != "" {
		t.Errorf("rows after rollback (-want +got):\n%s", diff)
	}
}

// TestWritesGoOnAfterPrimaryCrash guards against a failover that loses an
// acknowledged write or leaves the group without a primary.
func TestWritesGoOnAfterPrimaryCrash(t *testing.T) {
	f := newFixture(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn := connect(ctx, t, f.urls[0])
	if _, err := conn.Exec(ctx, "INSERT INTO die_runs (id, press, sheets) VALUES (1, 'press-1', 1)"); err != nil {
		t.Fatal(err)
	}
	f.group.Primary().Crash()
	if _, err := conn.Exec(ctx, "/* nutmegpier: idempotent */ INSERT OR REPLACE INTO die_runs (id, press, sheets) VALUES (2, 'press-1', 2)"); err != nil {
		t.Fatal(err)
	}
	var sum int
	if err := connect(ctx, t, f.urls[1]).QueryRow(ctx, "SELECT sum(sheets) FROM die_runs").Scan(&sum); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(3, sum); diff != "" {
		t.Errorf("sum after failover (-want +got):\n%s", diff)
	}
}

// TestWriteOnPausedPrimaryEnds guards against a write on a paused primary that waits
// for the answer timeout (1 min here) although another server has become primary.
func TestWriteOnPausedPrimaryEnds(t *testing.T) {
	f := newFixture(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn := connect(ctx, t, f.urls[0])
	if _, err := conn.Exec(ctx, "INSERT INTO die_runs (press, sheets) VALUES ('press-1', 1)"); err != nil {
		t.Fatal(err)
	}
	f.group.Primary().SetPaused(true)
	_, err := conn.Exec(ctx, "INSERT INTO die_runs (press, sheets) VALUES ('press-1', 2)")
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		t.Fatalf("error is %v, want an error response of the proxy", err)
	}
	if diff := cmp.Diff([]string{"40003", "Outcome: Unknown"}, []string{pgErr.Code, pgErr.Detail}); diff != "" {
		t.Errorf("error response (-want +got):\n%s", diff)
	}
}
