package main

import (
	"cmp"
	"expvar"
	"syscall"

	"github.com/nutmegpier/nutmegpier/budget"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/platform"
)

// megabyte is the unit of the memory limit.
const megabyte = 1 << 20

// processLimits divides the memory and the descriptors of the process.
type processLimits struct {
	callers *budget.Budget
	// peerConnections and probeConnections limit the connections to the port for other
	// instances, and to each of those for metrics and readiness.
	peerConnections  int
	probeConnections int
	// results limits the bytes of the large results that are being received.
	results *budget.Bytes
}

// newLimits derives the limits from the settings and the descriptor limit of the process.
// Of the descriptors, half are for callers, a quarter for other instances and a sixteenth
// for metrics and readiness. The others are for the instance's own connections.
func newLimits(settings gateway.Settings) (processLimits, error) {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return processLimits{}, err
	}
	open := int(min(descriptors.Cur, 1<<20))
	memory := settings.MemoryLimit * megabyte
	derived := budget.LimitsOf(memory, open)
	limits := budget.Limits{
		Bytes:       cmp.Or(settings.Callers.MaxBytes, derived.Bytes),
		Connections: min(cmp.Or(settings.Callers.MaxConnections, derived.Connections), derived.Connections),
	}
	callers := budget.New(limits)
	expvar.Publish("CallerBudget", expvar.Func(func() any { return map[string]any{"Limits": limits, "Use": callers.Use()} }))
	return processLimits{callers: callers, peerConnections: max(1, open/4), probeConnections: max(1, open/32), results: budget.NewBytes(limits.Bytes / 2)}, nil
}

// callerLimits returns the limits of the server for callers.
func (l processLimits) callerLimits(settings gateway.Settings, log *gateway.Log) platform.CallerLimits {
	return platform.CallerLimits{
		Budget: l.callers,
		Closed: func(address string, reason platform.CloseReason) {
			log.Request(bootTime(), event.CallerRefused, event.Fields{Text: string(reason) + " " + address})
		},
		StateBytes: settings.Callers.MaxStateBytes,
	}
}
