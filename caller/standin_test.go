package caller_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/standin"
)

// poolRouter routes all requests to one server through a backend.Pool.
type poolRouter struct {
	pool   *backend.Pool
	server fleet.ServerID
}

func (r *poolRouter) Acquire(ctx context.Context, request caller.Request) (caller.Lease, error) {
	lease, err := r.pool.Acquire(ctx, time.Now(), backend.PoolRequest{
		ArrivedAt: request.ArrivedAt,
		Deadline:  request.Deadline,
		Primary:   true,
		Server:    r.server,
		Weight:    1,
		Workspace: request.Workspace,
	})
	if err != nil {
		return nil, err
	}
	return lease, nil
}

const testPassword = "the proxy's own"

// deployStandin starts a server in front of a group of stand-in backend servers.
func deployStandin(t testing.TB, limits backend.Limits) (*deployment, *backend.Pool, fleet.ServerID) {
	t.Helper()
	group, err := standin.NewGroup(standin.Options{Authentication: standin.AuthenticationSCRAM, ID: testGroup, Password: testPassword, User: "proxy"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	pool := backend.NewPool(backend.PoolConfig{
		Connect: func(ctx context.Context, server fleet.ServerID, address string) (*backend.Conn, error) {
			return backend.Connect(ctx, backend.ConnConfig{Address: address, Database: testGroup, Password: testPassword, Server: server, User: "proxy"})
		},
	})
	t.Cleanup(pool.Close)
	primary := group.Primary()
	pool.SetServer(primary.ID(), primary.Addr(), limits)
	d := deploy(t, nil, nil, func(config *caller.Config) {
		config.Router = &poolRouter{pool: pool, server: primary.ID()}
		config.RequestTimeout = 20 * time.Second
	})
	return d, pool, primary.ID()
}

// TestStandinSessions guards against mixed-up responses, lost updates and too many
// connections when many sessions share few connections.
func TestStandinSessions(t *testing.T) {
	limits := backend.Limits{Permits: 3, Slots: 2}
	d, pool, server := deployStandin(t, limits)
	setup := d.connect(t)
	mustExec(t, setup, "create table t (id integer primary key, n integer)")
	mustExec(t, setup, "insert into t values (1, 0)")
	const sessions, rounds = 8, 10
	var running sync.WaitGroup
	for i := range sessions {
		mode := extendedMode
		if i%2 == 0 {
			mode = simpleMode
		}
		conn := d.connect(t, mode)
		running.Go(func() {
			for j := range rounds {
				if err := runRound(conn, i*1000+j); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
	var got int
	if err := setup.QueryRow(context.Background(), "select n from t where id = $1", 1).Scan(&got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sessions*rounds, got); diff != "" {
		t.Errorf("counter after all updates (-want +got):\n%s", diff)
	}
	counts := pool.Counts(server)
	if counts.Idle+counts.InUse > limits.Permits {
		t.Errorf("pool counts %+v exceed the limits %+v", counts, limits)
	}
}

// runRound queries a number and increments the counter in a transaction.
func runRound(conn *pgx.Conn, number int) error {
	ctx := context.Background()
	var echo string
	want := strconv.Itoa(number)
	if err := conn.QueryRow(ctx, "select $1::text", want).Scan(&echo); err != nil {
		return fmt.Errorf("echo query: %w", err)
	}
	if echo != want {
		return fmt.Errorf("echo = %q, want %q", echo, want)
	}
	return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "update t set n = n + 1 where id = $1", 1)
		return err
	})
}
