package instance

import (
	"strings"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/settings"
)

// Reload applies a settings file that was read again; err is the error of
// reading it. Settings that can change without a restart are in force when
// Reload returns. The others keep their values and are listed in the recorded
// event. If err is not nil, it is recorded and nothing changes.
func (i *Instance) Reload(configured settings.Settings, err error) {
	if err != nil {
		i.config.Events.Record(event.SettingsRefused, event.Fields{Text: err.Error()})
		return
	}
	before := *i.settings.Load()
	var changed, restart []string
	for _, change := range settings.Diff(before, configured) {
		if change.Restart {
			restart = append(restart, change.Path)
		} else {
			changed = append(changed, change.Path)
		}
	}
	next := reloaded(before, configured)
	i.settings.Store(&next)
	text := "changed: " + strings.Join(changed, ", ")
	if len(restart) > 0 {
		text += "; need a restart: " + strings.Join(restart, ", ")
	}
	i.config.Events.Record(event.SettingsReloaded, event.Fields{Text: text})
}

// reloaded returns the settings before the reload, updated with those that can
// change without a restart.
func reloaded(before, after settings.Settings) settings.Settings {
	next := before
	next.Admin = after.Admin
	next.Backend.AnswerTimeout = after.Backend.AnswerTimeout
	next.Backend.ConnectTimeout = after.Backend.ConnectTimeout
	next.Timeouts.CommitBound = after.Timeouts.CommitBound
	next.Timeouts.FreshWait = after.Timeouts.FreshWait
	next.Timeouts.StopBound = after.Timeouts.StopBound
	next.Groups = reloadedGroups(before.Groups, after.Groups)
	return next
}

// reloadedGroups returns the groups before the reload, updated with the
// connection budgets and slots of the groups of the same name.
func reloadedGroups(before, after []settings.Group) []settings.Group {
	next := make([]settings.Group, len(before))
	for number, group := range before {
		for _, candidate := range after {
			if candidate.Group == group.Group {
				group.Connections = candidate.Connections
				group.Slots = candidate.Slots
			}
		}
		next[number] = group
	}
	return next
}
