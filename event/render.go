package event

import (
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// timeLayout is the format of the time of day at the start of a rendered line.
const timeLayout = "15:04:05.000"

// minColumnWidth is the minimum width of an instance's column in characters.
const minColumnWidth = 12

// Render formats a timeline for a terminal. It has one line for each event, in the
// given order, and one column for each instance, sorted by name. An event is marked
// with its number in the column of its instance; its description is at the right.
func Render(events []Event) string {
	instances := instanceNames(events)
	width := minColumnWidth
	for _, instance := range instances {
		width = max(width, utf8.RuneCountInString(string(instance))+1)
	}
	var out strings.Builder
	out.WriteString(strings.Repeat(" ", len(timeLayout)+1))
	for _, instance := range instances {
		out.WriteString(pad(string(instance), width))
	}
	out.WriteString("event\n")
	for _, e := range events {
		renderLine(&out, e, instances, width)
	}
	return out.String()
}

// renderLine appends the line of one event.
func renderLine(out *strings.Builder, e Event, instances []fleet.InstanceID, width int) {
	out.WriteString(e.Time.UTC().Format(timeLayout) + " ")
	for _, instance := range instances {
		mark := "|"
		if instance == e.Instance {
			mark = "* " + strconv.FormatUint(uint64(e.Number), 10)
		}
		out.WriteString(pad(mark, width))
	}
	out.WriteString(describe(e) + "\n")
}

// describe returns the name and fields of an event on one line.
func describe(e Event) string {
	parts := []string{string(e.Name)}
	addNonEmpty := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+printable(value))
		}
	}
	addNonEmpty("database", string(e.Database))
	addNonEmpty("server", string(e.Server))
	if e.Term != 0 {
		addNonEmpty("term", strconv.FormatUint(uint64(e.Term), 10))
	}
	if !e.Position.IsZero() {
		addNonEmpty("position", e.Position.String())
	}
	addNonEmpty("workspace", string(e.Workspace))
	addNonEmpty("session", e.Session)
	if e.Text != "" {
		parts = append(parts, printable(e.Text))
	}
	return strings.Join(parts, " ")
}

// instanceNames returns the instances of the events, sorted and without duplicates.
func instanceNames(events []Event) []fleet.InstanceID {
	var instances []fleet.InstanceID
	for _, e := range events {
		instances = append(instances, e.Instance)
	}
	slices.Sort(instances)
	return slices.Compact(instances)
}

// pad appends spaces to a text up to a width in characters.
func pad(text string, width int) string {
	return text + strings.Repeat(" ", max(width-utf8.RuneCountInString(text), 0))
}

// printable replaces control characters, which could alter the terminal's state.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
