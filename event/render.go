package event

import (
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// timeLayout is the clock time of a rendered line.
const timeLayout = "15:04:05.000"

// minColumnWidth is the least width of a column in characters.
const minColumnWidth = 12

// Render returns a picture for a terminal: one line for each event, oldest
// first, and one column for each instance in the order of their names. A mark
// in its instance's column stands for an event; the text follows at the right.
func Render(events []Event) string {
	instances := instancesOf(events)
	width := minColumnWidth
	for _, instance := range instances {
		width = max(width, utf8.RuneCountInString(string(instance))+1)
	}
	var picture strings.Builder
	picture.WriteString(strings.Repeat(" ", len(timeLayout)+1))
	for _, instance := range instances {
		picture.WriteString(pad(string(instance), width))
	}
	picture.WriteString("event\n")
	for _, e := range events {
		renderLine(&picture, e, instances, width)
	}
	return picture.String()
}

func renderLine(picture *strings.Builder, e Event, instances []fleet.InstanceID, width int) {
	picture.WriteString(e.Time.UTC().Format(timeLayout) + " ")
	for _, instance := range instances {
		mark := "|"
		if instance == e.Instance {
			mark = "* " + strconv.FormatUint(uint64(e.Number), 10)
		}
		picture.WriteString(pad(mark, width))
	}
	picture.WriteString(describe(e) + "\n")
}

// describe returns the name and fields of an event on one line.
func describe(e Event) string {
	parts := []string{string(e.Name)}
	put := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+printable(value))
		}
	}
	put("database", string(e.Database))
	put("server", string(e.Server))
	if e.Term != 0 {
		put("term", strconv.FormatUint(uint64(e.Term), 10))
	}
	if !e.Position.IsZero() {
		put("position", e.Position.String())
	}
	put("workspace", string(e.Workspace))
	put("session", e.Session)
	if e.Text != "" {
		parts = append(parts, printable(e.Text))
	}
	return strings.Join(parts, " ")
}

func instancesOf(events []Event) []fleet.InstanceID {
	var instances []fleet.InstanceID
	for _, e := range events {
		instances = append(instances, e.Instance)
	}
	slices.Sort(instances)
	return slices.Compact(instances)
}

func pad(text string, width int) string {
	return text + strings.Repeat(" ", max(width-utf8.RuneCountInString(text), 0))
}

// printable replaces control characters, which could change the terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
