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

const (
	// fallbackDescriptors is the descriptor limit that is assumed if it can't be read,
	// which is a common default of Linux.
	fallbackDescriptors = 1024
	// megabyte is the unit of the memory limit.
	megabyte = 1 << 20
)

// processLimits divides the memory and the descriptors of the process.
type processLimits struct {
	callers *budget.Budget
	// peerConnections limits the connections to the port for other instances that have
	// not sent a request yet, and probeConnections those to each of the ports for metrics
	// and readiness.
	peerConnections  int
	probeConnections int
	// results limits the bytes of the large results that are being received.
	results *budget.Bytes
}

// otherPorts returns the limits on connections without a request to the port for other
// instances, and on connections to each of the ports for metrics and readiness. Of the
// descriptors, half are for callers, five sixteenths are the first limit, and a
// thirty-second is for metrics and readiness. The others are for the instance's own
// connections. Those of other instances that have authenticated a request are not limited.
func otherPorts(descriptors int) (peers, probes int) {
	return max(1, descriptors*5/16), max(1, descriptors/64)
}

// newLimits derives the limits from the settings and the descriptor limit of the process.
func newLimits(settings gateway.Settings) processLimits {
	open := fallbackDescriptors
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err == nil {
		open = int(min(descriptors.Cur, 1<<20))
	}
	memory := settings.MemoryLimit * megabyte
	derived := budget.LimitsOf(memory, open)
	limits := budget.Limits{
		Bytes:       cmp.Or(settings.Callers.MaxBytes, derived.Bytes),
		Connections: min(cmp.Or(settings.Callers.MaxConnections, derived.Connections), derived.Connections),
	}
	callers := budget.New(limits)
	expvar.Publish("CallerBudget", expvar.Func(func() any { return map[string]any{"Limits": limits, "Use": callers.Use()} }))
	peers, probes := otherPorts(open)
	return processLimits{callers: callers, peerConnections: peers, probeConnections: probes, results: budget.NewBytes(limits.Bytes / 2)}
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
