package group_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/standin"
)

const (
	// liveTimeout limits the whole run of one change of primary.
	liveTimeout = 30 * time.Second
	// liveWrites is the number of acknowledged writes required before the fault
	// and then on the next primary.
	liveWrites = 20
)

// liveDeployment is a stand-in group with instances that control it over real
// control connections and in real time.
type liveDeployment struct {
	*deployment
	servers *standin.Group
}

// deployLive starts a stand-in group and instances, and waits until all instances
// know its primary.
func deployLive(tb testing.TB) *liveDeployment {
	tb.Helper()
	servers, err := standin.NewGroup(standin.DefaultOptions())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(servers.Close)
	d := &liveDeployment{deployment: &deployment{}, servers: servers}
	d.placement.Store(&group.Placement{})
	d.ctx, d.cancel = context.WithTimeout(context.Background(), liveTimeout)
	if err := servers.Exec(d.ctx, "CREATE TABLE writes (id INTEGER PRIMARY KEY)"); err != nil {
		tb.Fatal(err)
	}
	d.start(3, func(fleet.InstanceID) []group.ServerConfig { return d.controls(tb) })
	for _, i := range d.instances {
		if _, _, err := i.AwaitPrimary(d.ctx); err != nil {
			tb.Fatal(err)
		}
	}
	return d
}

func (d *liveDeployment) controls(tb testing.TB) []group.ServerConfig {
	var configs []group.ServerConfig
	for _, s := range d.servers.Servers() {
		control, err := backend.NewControl(backend.ControlConfig{
			Address: s.Addr(), Database: string(d.servers.ID()), Dial: (&net.Dialer{}).DialContext, User: "proxy",
		})
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { control.Close(context.Background()) })
		configs = append(configs, group.ServerConfig{Control: control, ID: s.ID()})
	}
	return configs
}

// liveWriter writes rows one after the other through an instance.
type liveWriter struct {
	*liveDeployment
	acknowledged     []int
	conn             *pgconn.PgConn
	instance         *fakeInstance
	lastAcknowledged time.Time
	lastRow          int
	server           fleet.ServerID
	// longestGap is the longest time between acknowledged writes.
	longestGap time.Duration
}

// write writes a row and returns the primary that it was written on, once the
// write is committed.
func (w *liveWriter) write() (fleet.ServerID, error) {
	server, _, err := w.instance.AwaitPrimary(w.ctx)
	if err != nil {
		return "", err
	}
	if err := w.connect(server); err != nil {
		w.instance.ReportFailure(server)
		return "", err
	}
	w.lastRow++
	if _, err := w.conn.Exec(w.ctx, fmt.Sprintf("INSERT INTO writes VALUES (%d)", w.lastRow)).ReadAll(); err != nil {
		w.instance.ReportRefusal()
		return "", err
	}
	position, err := fleet.ParsePosition(w.conn.ParameterStatus("group_position"))
	if err != nil {
		return "", err
	}
	decision, err := w.instance.AwaitCommit(w.ctx, position)
	if err != nil || decision != group.Committed {
		return "", fmt.Errorf("decision %s: %w", decision, err)
	}
	now := time.Now()
	if !w.lastAcknowledged.IsZero() {
		w.longestGap = max(w.longestGap, now.Sub(w.lastAcknowledged))
	}
	w.acknowledged, w.lastAcknowledged = append(w.acknowledged, w.lastRow), now
	return server, nil
}

// connect connects to a server, unless the writer is already connected to it.
func (w *liveWriter) connect(server fleet.ServerID) error {
	if w.conn != nil && w.server == server && !w.conn.IsClosed() {
		return nil
	}
	w.close()
	address := w.servers.Server(server).Addr()
	conn, err := pgconn.Connect(w.ctx, "postgres://proxy@"+address+"/"+string(w.servers.ID())+"?sslmode=disable")
	if err != nil {
		return err
	}
	w.conn, w.server = conn, server
	return nil
}

func (w *liveWriter) close() {
	if w.conn != nil {
		// The connection is not used again, whatever the error.
		_ = w.conn.Close(w.ctx)
		w.conn = nil
	}
}

// writeUntil writes until liveWrites rows were acknowledged on a server that
// satisfies a condition.
func (w *liveWriter) writeUntil(tb testing.TB, satisfied func(fleet.ServerID) bool) {
	tb.Helper()
	for n := 0; n < liveWrites; {
		server, err := w.write()
		switch {
		case err == nil && satisfied(server):
			n++
		case w.ctx.Err() != nil:
			tb.Fatalf("after %d writes: %v", len(w.acknowledged), err)
		case err != nil:
			time.Sleep(time.Millisecond)
		}
	}
}

// missingRows returns the acknowledged rows that the primary does not have.
func (w *liveWriter) missingRows(tb testing.TB) []int {
	tb.Helper()
	results, err := w.conn.Exec(w.ctx, "SELECT id FROM writes").ReadAll()
	if err != nil {
		tb.Fatal(err)
	}
	found := map[int]bool{}
	for _, row := range results[0].Rows {
		id, err := strconv.Atoi(string(row[0]))
		if err != nil {
			tb.Fatal(err)
		}
		found[id] = true
	}
	return slices.DeleteFunc(slices.Clone(w.acknowledged), func(id int) bool { return found[id] })
}

// liveFaults are the ways in which a primary is replaced.
var liveFaults = []struct {
	name  string
	fault func(d *liveDeployment, primary fleet.ServerID)
}{
	{"Handover", func(d *liveDeployment, primary fleet.ServerID) {
		d.placement.Store(&group.Placement{Leaving: []fleet.ServerID{primary}})
	}},
	{"Crash", func(d *liveDeployment, primary fleet.ServerID) { d.servers.Server(primary).Crash() }},
	{"CutOff", func(d *liveDeployment, primary fleet.ServerID) { d.servers.PartitionServer(primary, true) }},
}

// replaceLive injects a fault while a writer writes continuously, waits for
// another primary, and returns the longest time without an acknowledged write.
func replaceLive(tb testing.TB, fault func(*liveDeployment, fleet.ServerID)) time.Duration {
	tb.Helper()
	d := deployLive(tb)
	defer d.running.Wait()
	defer d.cancel()
	w := &liveWriter{instance: d.instances[0], liveDeployment: d}
	defer w.close()
	old := d.servers.Primary().ID()
	w.writeUntil(tb, func(s fleet.ServerID) bool { return s == old })
	w.longestGap = 0
	fault(d, old)
	w.writeUntil(tb, func(s fleet.ServerID) bool { return s != old })
	if missingRows := w.missingRows(tb); len(missingRows) > 0 {
		tb.Errorf("acknowledged writes are missing on the next primary: %v", missingRows)
	}
	return w.longestGap
}

// TestLiveReplacement guards against a primary that is not replaced by another
// server, and against acknowledged writes that are lost in the replacement. It
// uses real control connections and real time.
func TestLiveReplacement(t *testing.T) {
	for _, tc := range liveFaults {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("longest time without an acknowledged write: %v", replaceLive(t, tc.fault))
		})
	}
}

// BenchmarkLiveReplacement measures the longest real time without an acknowledged
// write during a change of primary.
func BenchmarkLiveReplacement(b *testing.B) {
	for _, tc := range liveFaults {
		b.Run(tc.name, func(b *testing.B) {
			var gaps []time.Duration
			for range b.N {
				gaps = append(gaps, replaceLive(b, tc.fault))
			}
			slices.Sort(gaps)
			b.ReportMetric(float64(gaps[len(gaps)/2].Microseconds())/1000, "gap-median-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Microseconds())/1000, "gap-max-ms")
		})
	}
}
