package settings

import (
	"fmt"
	"reflect"
	"regexp"
)

// Change is one setting that differs.
type Change struct {
	New  string
	Old  string
	Path string
	// Restart is true when the change takes effect only after a restart.
	Restart bool
}

// hiddenValue stands for values that are not shown.
const hiddenValue = "(hidden)"

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// Diff returns the settings that differ, ordered by key path. Lists are
// compared by index; a list that changed its length is one change. Secret
// values are not shown.
func Diff(before, after Settings) []Change {
	described := map[string]Setting{}
	for _, setting := range Table() {
		described[setting.Rule.Path] = setting
	}
	var changes []Change
	walk("", reflect.ValueOf(before), reflect.ValueOf(after), func(path, old, changed string) {
		setting := described[indexPattern.ReplaceAllString(path, "[]")]
		if setting.Rule.Secret {
			old, changed = hiddenValue, hiddenValue
		}
		changes = append(changes, Change{New: changed, Old: old, Path: path, Restart: !setting.Reload})
	})
	return changes
}

func walk(path string, before, after reflect.Value, report func(path, old, changed string)) {
	switch {
	case before.Kind() == reflect.Struct:
		for i := range before.NumField() {
			name := before.Type().Field(i).Name
			if path != "" {
				name = path + "." + name
			}
			walk(name, before.Field(i), after.Field(i), report)
		}
	case before.Kind() == reflect.Slice && before.Len() != after.Len():
		report(path, fmt.Sprintf("%d entries", before.Len()), fmt.Sprintf("%d entries", after.Len()))
	case before.Kind() == reflect.Slice:
		for i := range before.Len() {
			walk(fmt.Sprintf("%s[%d]", path, i), before.Index(i), after.Index(i), report)
		}
	case !before.Equal(after):
		report(path, fmt.Sprint(before.Interface()), fmt.Sprint(after.Interface()))
	}
}
