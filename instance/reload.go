package instance

import (
	"strings"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/settings"
)

// Reload takes in a settings file that was read again. The settings that can
// change without a restart are in force when it returns; the others are named
// in the event and keep their values. With an error nothing changes.
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

// reloaded returns the old settings with those of the new ones that can change
// without a restart.
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
