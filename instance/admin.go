package instance

import (
	"math"
	"net/http"
	"time"

	"github.com/nutmegpier/nutmegpier/operator"
)

// readHeaderTimeout bounds reading the headers of a request on the administration
// and peer listeners, so that slow clients cannot hold connections open.
const readHeaderTimeout = 10 * time.Second

// maxHeaderBytes limits the headers of a request on the administration listener. Those of
// operators and probes have less than 1 KiB; many incomplete ones of 1 MiB, the default
// of net/http, would use up the memory.
const maxHeaderBytes = 16 << 10

// adminServer returns the HTTP server of the administration listener. It serves
// liveness, readiness, metrics and the administration API.
func (i *Instance) adminServer(api *operator.Server) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", i.serveHealth)
	mux.HandleFunc("GET /readyz", i.serveReadiness)
	mux.Handle("GET /debug/vars", i.metrics)
	mux.Handle("/", api.Handler())
	return &http.Server{Handler: mux, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout}
}

// adminConnections returns the limit on connections to the administration listener: a
// sixteenth of the descriptors. Operators and probes have a few.
func (i *Instance) adminConnections() int {
	if i.config.Descriptors == 0 {
		return math.MaxInt
	}
	return max(1, i.config.Descriptors/16)
}

// serveHealth is the liveness probe: it succeeds whenever the process can answer.
func (i *Instance) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("healthy\n"))
}

// serveReadiness is the readiness probe, by which the platform's load balancer
// decides whether to send new callers.
func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if i.ready(i.config.Now()) {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	http.Error(w, "not ready: "+string(i.board.Lifecycle.Load()), http.StatusServiceUnavailable)
}

// ready reports whether the instance accepts new callers: it is serving, a sheet is
// in force, its validity lease holds, and its data centre is in service.
func (i *Instance) ready(now time.Time) bool {
	inForce := i.board.Sheet.Load()
	return i.board.Lifecycle.Load() == LifecycleServing &&
		inForce.Version > 0 &&
		i.limiter.Valid(now) &&
		inForce.Index.IsInService(i.config.Settings.DataCentre)
}
