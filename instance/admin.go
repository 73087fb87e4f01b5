package instance

import (
	"net/http"
	"time"

	"github.com/nutmegpier/nutmegpier/operator"
)

// adminHeaderTimeout keeps slow clients from holding connections.
const adminHeaderTimeout = 10 * time.Second

// adminServer returns the server of the administration listener: health,
// readiness, metrics and the administration API.
func (i *Instance) adminServer(api *operator.Server) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", i.serveHealth)
	mux.HandleFunc("GET /readyz", i.serveReadiness)
	mux.Handle("GET /debug/vars", i.metrics)
	mux.Handle("/", api.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
}

// serveHealth answers while the process works at all.
func (i *Instance) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("healthy\n"))
}

// serveReadiness tells the platform's balancer whether to send new callers.
func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if i.ready(i.config.Now()) {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	http.Error(w, "not ready: "+string(i.board.Lifecycle.Load()), http.StatusServiceUnavailable)
}

// ready reports whether the instance takes new callers: it serves, it holds a
// sheet, its validity lease holds, and its data centre is in service.
func (i *Instance) ready(now time.Time) bool {
	inForce := i.board.Sheet.Load()
	return i.board.Lifecycle.Load() == LifecycleServing &&
		inForce.Version > 0 &&
		i.limits.Valid(now) &&
		inForce.Index.IsInService(i.config.Settings.DataCentre)
}
