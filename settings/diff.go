package settings

import (
	"fmt"
	"reflect"
	"regexp"
)

// Change is one setting that differs between two versions of the settings. The
// values are in text form.
type Change struct {
	New string
	Old string
	// Path is the key path, for example "Groups[0].Connections".
	Path string
	// Restart is true if the change takes effect only after a restart.
	Restart bool
}

// hiddenValue is shown in place of secret values.
const hiddenValue = "(hidden)"

// indexPattern matches a list index in a key path.
var indexPattern = regexp.MustCompile(`\[\d+\]`)

// Diff returns the settings that differ, ordered by key path. Lists are compared by
// index. A list whose length differs is reported as one change. Secret values are
// hidden.
func Diff(before, after Settings) []Change {
	settingsByPath := map[string]Setting{}
	for _, setting := range Table() {
		settingsByPath[setting.Rule.Path] = setting
	}
	var changes []Change
	diffValues("", reflect.ValueOf(before), reflect.ValueOf(after), func(path, oldValue, newValue string) {
		setting := settingsByPath[indexPattern.ReplaceAllString(path, "[]")]
		if setting.Rule.Secret {
			oldValue, newValue = hiddenValue, hiddenValue
		}
		changes = append(changes, Change{New: newValue, Old: oldValue, Path: path, Restart: !setting.Reload})
	})
	return changes
}

// diffValues calls report for each value that differs.
func diffValues(path string, before, after reflect.Value, report func(path, oldValue, newValue string)) {
	switch {
	case before.Kind() == reflect.Struct:
		for i := range before.NumField() {
			name := before.Type().Field(i).Name
			if path != "" {
				name = path + "." + name
			}
			diffValues(name, before.Field(i), after.Field(i), report)
		}
	case before.Kind() == reflect.Slice && before.Len() != after.Len():
		report(path, fmt.Sprintf("%d entries", before.Len()), fmt.Sprintf("%d entries", after.Len()))
	case before.Kind() == reflect.Slice:
		for i := range before.Len() {
			diffValues(fmt.Sprintf("%s[%d]", path, i), before.Index(i), after.Index(i), report)
		}
	case !before.Equal(after):
		report(path, fmt.Sprint(before.Interface()), fmt.Sprint(after.Interface()))
	}
}
