package instance

import (
	"expvar"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// workspaceMetrics counts the admitted and refused requests of one workspace.
type workspaceMetrics struct {
	admitted expvar.Int
	refused  expvar.Int
}

// metrics holds the metrics of one instance. They are not in expvar's global
// registry, because one process can run several instances.
type metrics struct {
	// portConnectionsClosed counts the connections to the administration port that were
	// closed because there were too many.
	portConnectionsClosed expvar.Int
	refusedNotServing     expvar.Int
	root                  expvar.Map

	mu         sync.Mutex
	workspaces map[fleet.WorkspaceID]*workspaceMetrics
}

// newMetrics returns metrics whose counters are zero.
func newMetrics() *metrics {
	m := &metrics{workspaces: make(map[fleet.WorkspaceID]*workspaceMetrics)}
	m.root.Set("PortConnectionsClosed", &m.portConnectionsClosed)
	m.root.Set("RefusedNotServing", &m.refusedNotServing)
	m.root.Set("Workspaces", expvar.Func(m.workspaceValues))
	return m
}

// publish adds a metric whose value is computed whenever the metrics are read.
func (m *metrics) publish(name string, value func() any) {
	m.root.Set(name, expvar.Func(value))
}

// ServeHTTP writes the metrics as JSON.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(m.root.String()))
}

// workspace returns the metrics of a workspace and creates them at the first
// call. It is called only for workspaces of a sheet, so the sheets bound the
// number of entries.
func (m *metrics) workspace(id fleet.WorkspaceID) *workspaceMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.workspaces[id]
	if found == nil {
		found = &workspaceMetrics{}
		m.workspaces[id] = found
	}
	return found
}

// activeWorkspaces returns the workspaces for which this instance has metrics:
// those that sent requests and, after a call of Status, all workspaces of the
// sheet.
func (m *metrics) activeWorkspaces() []fleet.WorkspaceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.workspaces))
}

// workspaceValue is the JSON form of workspaceMetrics.
type workspaceValue struct {
	Admitted int64
	Refused  int64
}

// workspaceValues returns the metrics of all workspaces in their JSON form.
func (m *metrics) workspaceValues() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := make(map[fleet.WorkspaceID]workspaceValue, len(m.workspaces))
	for id, counts := range m.workspaces {
		values[id] = workspaceValue{Admitted: counts.admitted.Value(), Refused: counts.refused.Value()}
	}
	return values
}

// publishMetrics adds the metrics that are read from other components.
func (i *Instance) publishMetrics() {
	i.metrics.publish("CallersClosed", func() any { return i.callers.ClosedConnections() })
	i.metrics.publish("Lifecycle", func() any { return i.board.Lifecycle.Load() })
	i.metrics.publish("Pools", func() any { return i.allPoolStatus() })
	i.metrics.publish("Promotions", func() any { return len(i.Promotions()) })
	i.metrics.publish("RosterGeneration", func() any { return i.peers.Versions().Generation })
	i.metrics.publish("Sessions", func() any { return i.callers.Sessions() })
	i.metrics.publish("SheetVersion", func() any { return i.board.Sheet.Load().Version })
	i.metrics.publish("Valid", func() any { return i.limiter.Valid(i.config.Now()) })
}
