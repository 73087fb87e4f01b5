package instance

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
)

// leaveGrace is the time for which an instance in a data centre that was taken
// out still serves requests of sessions that it is about to close.
const leaveGrace = 2 * time.Second

// service follows whether the data centre of the instance is in service.
type service struct {
	mu       sync.Mutex
	outSince time.Time
}

// observe takes in whether the data centre is in service. It reports whether
// that has changed.
func (s *service) observe(now time.Time, inService bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.outSince.IsZero() != inService
	switch {
	case inService:
		s.outSince = time.Time{}
	case changed:
		s.outSince = now
	}
	return changed
}

// takesRequests reports whether requests of open sessions are served.
func (s *service) takesRequests(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outSince.IsZero() || now.Before(s.outSince.Add(leaveGrace))
}

// watchService closes idle sessions while the instance is not to serve: when
// its validity lease has lapsed, or its data centre was taken out.
func (i *Instance) watchService(ctx context.Context) error {
	valid := false
	for {
		now := i.config.Now()
		if isValid := i.limits.Valid(now); isValid != valid {
			valid = isValid
			i.noteValidity(valid)
		}
		i.followDataCentre(now)
		if err := pause(ctx, keepInterval); err != nil {
			return nil
		}
	}
}

func (i *Instance) noteValidity(valid bool) {
	if valid {
		i.config.Events.Record(event.ValidityGained, event.Fields{})
		return
	}
	i.config.Events.Record(event.ValidityLost, event.Fields{})
	i.callers.StopIdle("the instance cannot prove that its configuration is in force")
}

func (i *Instance) followDataCentre(now time.Time) {
	local := i.config.Settings.DataCentre
	inService := i.board.Sheet.Load().Index.IsInService(local)
	if i.service.observe(now, inService) {
		text := "data centre " + string(local) + " taken out"
		if inService {
			text = "data centre " + string(local) + " back in service"
		}
		i.config.Events.Record(event.DataCentreChanged, event.Fields{Text: text})
	}
	if !inService {
		i.callers.StopIdle("data centre " + string(local) + " is out of service")
	}
}
