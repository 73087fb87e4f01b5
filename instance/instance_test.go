package instance_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/standin"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	testDatabase  = "orders"
	testWorkspace = "die-room"
	testTimeout   = 20 * time.Second
)

// fixedLimits admits everything and grants a fixed number of permits.
type fixedLimits struct {
	permits int
}

func (fixedLimits) Admit(time.Time, fleet.WorkspaceID) workspace.Decision {
	return workspace.Decision{Admitted: true}
}

func (l fixedLimits) Permits(fleet.ServerID) int {
	return l.permits
}

func (fixedLimits) Share(time.Time, fleet.WorkspaceID) workspace.Share {
	return workspace.Share{Rate: 1000}
}

func (fixedLimits) Valid(time.Time) bool {
	return true
}

// onePeer is the view of an instance that has no peers.
type onePeer struct {
	self fleet.InstanceID
}

func (p onePeer) Live() []fleet.InstanceID {
	return []fleet.InstanceID{p.self}
}

func (onePeer) Suspicions(fleet.GroupID) []group.SuspicionReport {
	return nil
}

type fixture struct {
	group *standin.Group
	urls  []string
}

// newFixture starts a group of stand-in servers and instances before it.
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
	for number := range instances {
		address := startInstance(t, servers, fleet.InstanceID(fmt.Sprintf("i%d", number+1)), published)
		f.urls = append(f.urls, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", testWorkspace, key.Key, address, testDatabase))
	}
	return f
}

func startInstance(t *testing.T, servers *standin.Group, id fleet.InstanceID, published sheet.Sheet) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
		Timeouts: settings.Timeouts{CommitBound: 5 * time.Second, FreshWait: 5 * time.Millisecond, StopBound: 5 * time.Second},
	}
	for _, server := range servers.Servers() {
		configured.Groups[0].Servers = append(configured.Groups[0].Servers, settings.Server{
			Address:    server.Addr(),
			DataCentre: "gt-1",
			Server:     server.ID(),
		})
	}
	epoch := fleet.Epoch(1)
	running, err := instance.New(instance.Config{
		Dial:       (&net.Dialer{}).DialContext,
		Epoch:      epoch,
		Events:     event.New(id, epoch, time.Now, event.NewLogger(io.Discard, "text", event.LevelInfo), 100),
		GroupPeers: onePeer{self: id},
		Limits:     fixedLimits{permits: 4},
		Listeners:  instance.Listeners{Callers: listener},
		Now:        time.Now,
		Random:     rand.New(rand.NewPCG(1, 2)),
		Settings:   configured,
	})
	if err != nil {
		t.Fatal(err)
	}
	running.Board().Sheet.Store(instance.SheetInForce{Sheet: published, Version: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- running.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return listener.Addr().String()
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

// TestBookingIsReadThroughAnotherInstance guards against a session that roams
// to another instance without a token and misses an acknowledged write.
func TestBookingIsReadThroughAnotherInstance(t *testing.T) {
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
			t.Fatalf("booked sum and count (-want +got):\n%s", diff)
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

// TestWritesGoOnAfterPrimaryCrash guards against an acknowledged write that a
// failover loses, and against a group that stays without a primary.
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
