package settings_test

import (
	"errors"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/settings"
)

var update = flag.Bool("update", false, "write docs/settings.md")

func example(t testing.TB) string {
	t.Helper()
	content, err := os.ReadFile("testdata/serve.hujson")
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func problemLines(t testing.TB, content string) []string {
	t.Helper()
	_, err := settings.Parse("f", []byte(content))
	if err == nil {
		return nil
	}
	var invalid *settings.Error
	if !errors.As(err, &invalid) {
		t.Fatalf("error is %T, want *settings.Error", err)
	}
	var lines []string
	for _, problem := range invalid.Problems {
		lines = append(lines, problem.String())
	}
	return lines
}

// TestDiffMarksRestarts guards against a reload that ignores a change without
// reporting that a restart is needed, and against secret values in the diff.
func TestDiffMarksRestarts(t *testing.T) {
	before, err := settings.Parse("f", []byte(strings.Replace(example(t), `"Backend": {`, `"Admin": {"Tokens": [{"Role": "Read", "TokenSHA256": "`+strings.Repeat("ab", 32)+`"}]}, "Backend": {`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	after, err := settings.Parse("f", []byte(strings.NewReplacer("127.0.0.1:6432", "127.0.0.1:6439", `"Backend": {`, `"Admin": {"Tokens": [{"Role": "Read", "TokenSHA256": "`+strings.Repeat("cd", 32)+`"}]}, "Backend": {"AnswerTimeout": "9s", `).Replace(example(t))))
	if err != nil {
		t.Fatal(err)
	}
	want := []settings.Change{
		{New: "(hidden)", Old: "(hidden)", Path: "Admin.Tokens[0].TokenSHA256"},
		{New: "9s", Old: "30s", Path: "Backend.AnswerTimeout"},
		{New: "127.0.0.1:6439", Old: "127.0.0.1:6432", Path: "Listen.Callers", Restart: true},
	}
	if diff := cmp.Diff(want, settings.Diff(before, after)); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestParseDefaults guards against missing settings that stay zero in place of their
// defaults.
func TestParseDefaults(t *testing.T) {
	got, err := settings.Parse("f", []byte(example(t)))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(settings.Detection{DetectTime: 900 * time.Millisecond, PollInterval: 250 * time.Millisecond, SuspectInterval: 50 * time.Millisecond}, got.Detection); diff != "" {
		t.Errorf("Detection (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(20, got.Groups[0].Connections); diff != "" {
		t.Errorf("Connections (-want +got):\n%s", diff)
	}
}

// TestParseReportsAllProblems guards against a validation that stops at the first
// problem, and against problems without their position.
func TestParseReportsAllProblems(t *testing.T) {
	content := strings.NewReplacer(
		`"Instance": "pier-1"`, `"Instnace": "pier-1"`,
		`"Platform": {`, `"Platform": {"Timeout": "2 seconds", `,
		`"Backend": {`, `"Backend": {"MaxOpenings": 0, "MaxOpenings": 3, `,
		`"orders-2"`, `"orders-1"`,
		"127.0.0.1:5432", "127.0.0.1:5431",
		`"Groups"`, `"TLS": {"AllowCleartextKeys": true}, "Detection": {"SuspectInterval": "1s"}, "Groups"`,
	).Replace(example(t))
	want := []string{
		"f:1:1: Instance: key is missing",
		"f:3:2: Instnace: unknown key, did you mean Instance?",
		`f:6:26: Platform.Timeout: want a duration, such as "900ms", found "2 seconds", accepted: 10ms to 1m0s`,
		"f:7:29: Backend.MaxOpenings: out of range, found 0, accepted: 1 to 1000",
		"f:7:32: Backend.MaxOpenings: key occurs twice",
		"f:8:32: TLS.AllowCleartextKeys: cleartext keys need TLS for callers: TLS.Callers.CertFile is empty",
		"f:8:72: Detection.SuspectInterval: 1s is not below Detection.DetectTime (900ms)",
		"f:8:72: Detection.SuspectInterval: 1s is above Detection.PollInterval (250ms)",
		"f:13:16: Groups[0].Servers[1].Server: server orders-1 is already defined at Groups[0].Servers[0].Server",
		"f:13:39: Groups[0].Servers[1].Address: address 127.0.0.1:5431 is already used by Groups[0].Servers[0].Address",
	}
	if diff := cmp.Diff(want, problemLines(t, content)); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

// TestParseCallerBytes guards against a limit on the bytes of all callers that refuses a
// single message of the largest size.
func TestParseCallerBytes(t *testing.T) {
	for bytes, want := range map[string][]string{
		"0":    nil,
		"4096": nil,
		"4095": {"f:2:27: Limits.CallerBytes: 4095 is below twice Limits.MaxMessageBytes (2048)"},
	} {
		content := strings.Replace(example(t), "{", "{\n\"Limits\": {\"CallerBytes\": "+bytes+", \"MaxMessageBytes\": 2048},", 1)
		if diff := cmp.Diff(want, problemLines(t, content)); diff != "" {
			t.Errorf("problems with CallerBytes %s (-want +got):\n%s", bytes, diff)
		}
	}
}

// TestParseSyntax guards against syntax errors and deep nesting that are not reported
// or that exhaust the stack.
func TestParseSyntax(t *testing.T) {
	deep := strings.Repeat("[", 1<<20)
	for _, content := range []string{"", "{", `{"Instance": }`, "[]", deep, "/*\"*/" + deep, "//\"\n" + deep} {
		if diff := cmp.Diff(1, min(len(problemLines(t, content)), 1)); diff != "" {
			t.Errorf("Parse(%.20q) problems (-want +got):\n%s", content, diff)
		}
	}
}

// TestReferencePage guards against a reference page that differs from the table of
// settings. With the flag -update it writes the page.
func TestReferencePage(t *testing.T) {
	if *update {
		if err := os.WriteFile("../docs/settings.md", []byte(settings.Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(settings.Reference(), string(page)); diff != "" {
		t.Errorf("docs/settings.md (-want +got):\n%s", diff)
	}
}

// TestTableCoversSettings guards against a setting that is missing from the table and
// so has no default, range and description.
func TestTableCoversSettings(t *testing.T) {
	var want, got []string
	collect("", reflect.TypeFor[settings.Settings](), &want)
	for _, setting := range settings.Table() {
		if setting.Meaning == "" {
			t.Errorf("%s has no meaning", setting.Rule.Path)
		}
		got = append(got, setting.Rule.Path)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("key paths (-want +got):\n%s", diff)
	}
}

// collect appends the key paths of all settings in a struct.
func collect(path string, structure reflect.Type, paths *[]string) {
	for field := range structure.Fields() {
		child := strings.TrimPrefix(path+"."+field.Name, ".")
		switch field.Type.Kind() {
		case reflect.Struct:
			collect(child, field.Type, paths)
		case reflect.Slice:
			*paths = append(*paths, child)
			collect(child+"[]", field.Type.Elem(), paths)
		default:
			*paths = append(*paths, child)
		}
	}
}

// FuzzParse guards against panics in the parser, and against accepted settings that
// differ from themselves in Diff.
func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Add(`{"Groups": [null, {"Servers": {}}], "Groups": 1}`)
	f.Add(`{"Timeouts": {"Idle": "-1ns"}, "Limits": {"MaxSessions": 1e99}}`)
	f.Fuzz(func(t *testing.T, content string) {
		parsed, err := settings.Parse("f", []byte(content))
		if err == nil && len(settings.Diff(parsed, parsed)) > 0 {
			t.Error("settings differ from themselves")
		}
	})
}
