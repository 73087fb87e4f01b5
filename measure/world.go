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
	// setupTimeout bounds the start of a deployment and the repair after a fault.
	setupTimeout = time.Minute
	// pollPause is the pause between looks at a state that is awaited.
	pollPause = time.Millisecond
)

// world is a running deployment under test.
type world struct {
	demo       *demo.Demo
	deployment demo.Deployment
	instances  []fleet.InstanceID
	keys       []demo.WorkspaceKey
	// lastID is the last id that a write used.
	lastID atomic.Int64
}

func startWorld(ctx context.Context, deployment demo.Deployment, instances int) (*world, error) {
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
	return &world{demo: running, deployment: deployment, instances: running.Instances(), keys: running.Keys()}, nil
}

// close stops the deployment. The result of a measurement does not depend on
// how the deployment ends, so its error is not reported.
func (w *world) close() {
	_ = w.demo.Close()
}

// databases returns the groups of the deployment.
func (w *world) databases() []*standin.Group {
	var groups []*standin.Group
	for _, database := range w.deployment.Databases {
		groups = append(groups, w.demo.Group(database.Group))
	}
	return groups
}

// limit returns the rate limit of a workspace.
func (w *world) limit(id fleet.WorkspaceID) demo.Workspace {
	i := slices.IndexFunc(w.deployment.Workspaces, func(candidate demo.Workspace) bool { return candidate.Workspace == id })
	return w.deployment.Workspaces[i]
}

// heal undoes the faults of a group and waits until it has a primary whose log
// all servers applied.
func (w *world) heal(ctx context.Context, group *standin.Group) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	if err := w.demo.RunFaultCommand("heal " + string(group.ID())); err != nil {
		return err
	}
	for group.WaitApplied(ctx) != nil {
		if err := pause(ctx, pollPause); err != nil {
			return fmt.Errorf("group %s did not recover: %w", group.ID(), err)
		}
	}
	return nil
}

// control opens a connection to a server that is not counted in its limit.
func control(ctx context.Context, server *standin.Server) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://nutmegpier@%s/postgres?sslmode=disable&application_name=%s",
		server.Addr(), standin.ControlApplicationName))
}

// column returns the first column of a query on the primary of a group.
func column(ctx context.Context, group *standin.Group, sql string) ([]string, error) {
	primary := group.Primary()
	if primary == nil {
		return nil, fmt.Errorf("group %s has no primary", group.ID())
	}
	conn, err := control(ctx, primary)
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

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
