package instance

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/nutmegpier/nutmegpier/budget"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/settings"
)

// mockSecretBytes is the length of the secret from which the mock salts of
// unknown workspaces are derived.
const mockSecretBytes = 32

// minCallerBytes is the smallest default of Limits.CallerBytes.
const minCallerBytes = 32 << 20

// noIdleTimeout stands for no idle timeout: it is longer than any session lasts.
const noIdleTimeout = 10 * 365 * 24 * time.Hour

// callerBudget returns the budget of the connections of callers, or nil without a known
// descriptor limit.
func (i *Instance) callerBudget() *budget.Budget {
	if i.config.Descriptors == 0 {
		return nil
	}
	limits := i.config.Settings.Limits
	return budget.New(budget.Limits{
		Bytes:       cmp.Or(limits.CallerBytes, max(minCallerBytes, 2*limits.MaxMessageBytes)),
		Connections: budget.LimitsOf(0, i.config.Descriptors).Connections,
	})
}

// callerConfig returns the configuration of the server for callers.
func (i *Instance) callerConfig() caller.Config {
	configured := i.config.Settings
	mockSecret := make([]byte, 0, mockSecretBytes)
	for len(mockSecret) < mockSecretBytes {
		mockSecret = append(mockSecret, byte(i.config.Random.Uint32()))
	}
	return caller.Config{
		AllowCleartext:      configured.TLS.AllowCleartextKeys,
		Barrier:             i.router,
		Budget:              i.callerBudget(),
		CancelForwarder:     i,
		CommitWaiter:        i.router,
		Credentials:         &credentials{now: i.config.Now, sheet: i.board.Sheet},
		EventRecorder:       i.recorder,
		AdmissionController: &admissionController{lifecycle: i.board.Lifecycle, limiter: i.limiter, metrics: i.metrics, now: i.config.Now, dataCentreState: i.dataCentreState},
		IdleTimeout:         idleTimeout(configured.Timeouts.Idle),
		MaxMessage:          configured.Limits.MaxMessageBytes,
		MaxSessions:         configured.Limits.MaxSessions,
		MockSecret:          mockSecret,
		Now:                 i.config.Now,
		RequestTimeout:      configured.Limits.QueueTimeout,
		Router:              i.router,
		Routes:              &routes{sheet: i.board.Sheet},
		StopBound:           configured.Timeouts.StopBound,
		StartupTimeout:      configured.Timeouts.Startup,
	}
}

// idleTimeout converts the setting, in which zero means no timeout, to the idle
// timeout of the caller server.
func idleTimeout(configured time.Duration) time.Duration {
	if configured == 0 {
		return noIdleTimeout
	}
	return configured
}

// newRouter returns a router for all groups of the settings.
func (i *Instance) newRouter() *router {
	r := &router{
		now:      i.config.Now,
		pool:     i.pool,
		random:   rand.New(rand.NewPCG(i.config.Random.Uint64(), 0)),
		sheet:    i.board.Sheet,
		strategy: group.FreshnessDistance,
		timeouts: func() settings.Timeouts { return i.settings.Load().Timeouts },
	}
	for number, controller := range i.groups {
		routed := routedGroup{
			control: controller,
			id:      controller.settings.Group,
			view:    i.board.Groups[number].Section,
		}
		for _, server := range controller.settings.Servers {
			routed.servers = append(routed.servers, server.Server)
		}
		r.groups = append(r.groups, routed)
	}
	return r
}
