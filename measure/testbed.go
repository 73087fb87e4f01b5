package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/standin"
)

const (
	// setupTimeout bounds the start of a deployment, the recovery after faults are
	// undone, and the publication and spread of a sheet.
	setupTimeout = time.Minute
	// pollInterval is the pause between two checks of a condition that is awaited.
	pollInterval = time.Millisecond
)

// testbed is a running deployment on which a scenario is measured.
type testbed struct {
	demo       *demo.Demo
	deployment demo.Deployment
	instances  []fleet.InstanceID
	keys       []demo.WorkspaceKey
	// lastID is the last row id that was used for a write.
	lastID atomic.Int64
}

func startTestbed(ctx context.Context, deployment demo.Deployment, instances int) (*testbed, error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	running, err := demo.Start(ctx, demo.Options{
		Deployments: []demo.Deployment{deployment},
		Instances:   instances,
		Listen:      "127.0.0.1:0",
		LogFormat:   "text",
		LogOutput:   io.Discard,
	})
	if err != nil {
		return nil, err
	}
	return &testbed{demo: running, deployment: deployment, instances: running.Instances(), keys: running.Keys()}, nil
}

// close stops the deployment. It ignores the error, because a failed stop does not
// affect the results.
func (tb *testbed) close() {
	_ = tb.demo.Close()
}

// databases returns the stand-in group of each database of the deployment.
func (tb *testbed) databases() []*standin.Group {
	var groups []*standin.Group
	for _, database := range tb.deployment.Databases {
		groups = append(groups, tb.demo.Group(database.Group))
	}
	return groups
}

// limit returns the definition of a workspace in the deployment, with its rate limit.
func (tb *testbed) limit(id fleet.WorkspaceID) demo.Workspace {
	i := slices.IndexFunc(tb.deployment.Workspaces, func(candidate demo.Workspace) bool { return candidate.Workspace == id })
	return tb.deployment.Workspaces[i]
}

// heal undoes the faults of a group and waits until it has a primary whose log all
// running servers have applied.
func (tb *testbed) heal(ctx context.Context, group *standin.Group) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	if err := tb.demo.RunFaultCommand("heal " + string(group.ID())); err != nil {
		return err
	}
	for group.WaitApplied(ctx) != nil {
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("group %s did not recover after its faults were undone: %w", group.ID(), err)
		}
	}
	return nil
}

// openControlConn opens a control connection to a server, which does not count towards
// the server's connection limit.
func openControlConn(ctx context.Context, server *standin.Server) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://nutmegpier@%s/postgres?sslmode=disable&application_name=%s",
		server.Addr(), standin.ControlApplicationName))
}

// queryFirstColumn runs a query on the primary of a group and returns the first column.
func queryFirstColumn(ctx context.Context, group *standin.Group, sql string) ([]string, error) {
	primary := group.Primary()
	if primary == nil {
		return nil, fmt.Errorf("group %s has no primary", group.ID())
	}
	conn, err := openControlConn(ctx, primary)
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var values []string
	for _, row := range results[0].Rows {
		values = append(values, string(row[0]))
	}
	return values, nil
}

// sleep waits for the duration. If the context ends earlier, it returns the error of the
// context.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
