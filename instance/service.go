package instance

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
)

// outOfServiceGracePeriod is how long an instance still serves requests of the
// sessions that it is closing, after its data centre was taken out of service.
const outOfServiceGracePeriod = 2 * time.Second

// dataCentreState holds whether the data centre of the instance is in service.
type dataCentreState struct {
	mu sync.Mutex
	// outOfServiceSince is zero while the data centre is in service.
	outOfServiceSince time.Time
}

// setInService sets whether the data centre is in service, and reports whether that
// is a change.
func (s *dataCentreState) setInService(now time.Time, inService bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.outOfServiceSince.IsZero() != inService
	switch {
	case inService:
		s.outOfServiceSince = time.Time{}
	case changed:
		s.outOfServiceSince = now
	}
	return changed
}

// acceptsRequests reports whether requests of open sessions are still served.
func (s *dataCentreState) acceptsRequests(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outOfServiceSince.IsZero() || now.Before(s.outOfServiceSince.Add(outOfServiceGracePeriod))
}

// watchServingState closes idle sessions when the validity lease of the instance
// has expired, and while its data centre is out of service. It records changes of
// both as events.
func (i *Instance) watchServingState(ctx context.Context) error {
	valid := false
	for {
		now := i.config.Now()
		if isValid := i.limiter.Valid(now); isValid != valid {
			valid = isValid
			i.handleValidityChange(valid)
		}
		i.updateDataCentreState(now)
		if err := sleep(ctx, pollInterval); err != nil {
			return nil
		}
	}
}

// handleValidityChange records that the validity lease was gained or lost, and stops
// the sessions when it was lost.
func (i *Instance) handleValidityChange(valid bool) {
	if valid {
		i.config.Events.Record(event.ValidityGained, event.Fields{})
		return
	}
	i.config.Events.Record(event.ValidityLost, event.Fields{})
	i.callers.StopUnproven("the instance cannot prove that its configuration is in force")
}

// updateDataCentreState applies the state of the local data centre from the sheet in
// force, and closes idle sessions while it is out of service.
func (i *Instance) updateDataCentreState(now time.Time) {
	local := i.config.Settings.DataCentre
	inService := i.board.Sheet.Load().Index.IsInService(local)
	if i.dataCentreState.setInService(now, inService) {
		text := "data centre " + string(local) + " taken out of service"
		if inService {
			text = "data centre " + string(local) + " back in service"
		}
		i.config.Events.Record(event.DataCentreChanged, event.Fields{Text: text})
	}
	if !inService {
		i.callers.StopIdle("data centre " + string(local) + " is out of service")
	}
}
