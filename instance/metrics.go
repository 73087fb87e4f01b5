package instance

import (
	"expvar"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// workspaceMetrics counts the decisions on the requests of one workspace.
type workspaceMetrics struct {
	admitted expvar.Int
	refused  expvar.Int
}

// metrics holds the metrics of one instance. They are not in expvar's global
// registry, because one process can run several instances.
type metrics struct {
	refusedNotServing expvar.Int
	root              expvar.Map

	mu         sync.Mutex
	workspaces map[fleet.WorkspaceID]*workspaceMetrics
}

// newMetrics returns metrics that count from zero.
func newMetrics() *metrics {
	m := &metrics{workspaces: make(map[fleet.WorkspaceID]*workspaceMetrics)}
	m.root.Set("RefusedNotServing", &m.refusedNotServing)
	m.root.Set("Workspaces", expvar.Func(m.workspaceValues))
	return m
}

// publish adds a value that is computed when it is read.
func (m *metrics) publish(name string, value func() any) {
	m.root.Set(name, expvar.Func(value))
}

// ServeHTTP writes the metrics as JSON.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(m.root.String()))
}

// workspace returns the metrics of a workspace. Only workspaces whose key was
// accepted get here, so the number of entries is bounded by the sheets.
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

// busy returns the workspaces that have sent requests to this instance.
func (m *metrics) busy() []fleet.WorkspaceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.workspaces))
}

// workspaceValue is the exported form of workspaceMetrics.
type workspaceValue struct {
	Admitted int64
	Refused  int64
}

func (m *metrics) workspaceValues() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := make(map[fleet.WorkspaceID]workspaceValue, len(m.workspaces))
	for id, counts := range m.workspaces {
		values[id] = workspaceValue{Admitted: counts.admitted.Value(), Refused: counts.refused.Value()}
	}
	return values
}

// publishMetrics adds the values that are read from other parts.
func (i *Instance) publishMetrics() {
	i.metrics.publish("Lifecycle", func() any { return i.board.Lifecycle.Load() })
	i.metrics.publish("Pools", func() any { return i.allPools() })
	i.metrics.publish("Promotions", func() any { return len(i.Promotions()) })
	i.metrics.publish("RosterGeneration", func() any { return i.peers.Versions().Generation })
	i.metrics.publish("Sessions", func() any { return i.callers.Sessions() })
	i.metrics.publish("SheetVersion", func() any { return i.board.Sheet.Load().Version })
	i.metrics.publish("Valid", func() any { return i.limits.Valid(i.config.Now()) })
}
