package gateway_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/gateway"
)

// renderTemplate returns the settings template, rendered with the values of one
// instance.
func renderTemplate(t *testing.T) string {
	t.Helper()
	return renderTemplateWith(t, nil)
}

// section matches a section of the template, which is rendered if its value is present.
var section = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)

// renderTemplateWith also renders values that most deployments do not have.
func renderTemplateWith(t *testing.T, values map[string]string) string {
	t.Helper()
	return renderFile(t, "../deploy/instance.hujson", values)
}

// renderFile renders a template.
func renderFile(t *testing.T, file string, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(
		"{{zone|json}}", `"mixco"`, "{{node|json}}", `"front-mixco-1"`, "{{listen.front|json}}", `"10.1.0.26:8465"`,
		"{{listen.ready|json}}", `"10.1.0.26:8460"`, "{{ip}}", "10.1.0.26", "{{internal_ports.0}}", "7560", "{{internal_ports.1}}", "7575",
		"{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "20", "{{limits.memory_mb}}", "284", "{{cloud.addr|json}}", `"10.200.0.2:8466"`, "{{bounds.grace_s}}", "6",
		"{{platform.addr|json}}", `"10.200.1.7:8466"`,
	).Replace(string(template))
	text = section.ReplaceAllStringFunc(text, func(found string) string {
		parts := section.FindStringSubmatch(found)
		if parts[1] != parts[3] {
			t.Fatalf("section %s ends as %s", parts[1], parts[3])
		}
		if _, present := values[parts[1]]; !present {
			return ""
		}
		return parts[2]
	})
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if placeholder := regexp.MustCompile(`\{\{[^}]*\}\}`).FindString(text); placeholder != "" {
		t.Fatalf("the test has no value for the placeholder %s of the template", placeholder)
	}
	return text
}

// TestTemplate guards against a template whose rendered settings are rejected or
// parsed to other values.
func TestTemplate(t *testing.T) {
	got, err := gateway.ParseSettings("node", []byte(renderTemplate(t)))
	if err != nil {
		t.Fatal(err)
	}
	want := gateway.Settings{
		Callers:    gateway.CallerSettings{MaxStateBytes: 4 << 20},
		DataCentre: "mixco", Instance: "front-mixco-1", KeyLease: 4500 * time.Millisecond, LinkMegabits: 20,
		Listen: gateway.Listen{Callers: "10.1.0.26:8465", Metrics: "10.1.0.26:7560", Peers: "10.1.0.26:7575", Ready: "10.1.0.26:8460"},
		Log:    gateway.LogSettings{LinesPerSecond: 20}, MemoryLimit: 284, ProcessorShare: 0.4, PromotionAddress: "10.200.0.2:8466",
		StopBound: 6 * time.Second, StoreAddress: "10.200.1.7:8466", TransactionIdle: 3 * time.Second,
		Usage: gateway.UsageSettings{Late: 10 * time.Second},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// TestTemplateWithoutOptionalValues guards against a template that scripts can't render
// because it has placeholders that only some platforms know.
func TestTemplateWithoutOptionalValues(t *testing.T) {
	want, err := gateway.ParseSettings("node", []byte(renderTemplate(t)))
	if err != nil {
		t.Fatal(err)
	}
	text := renderFile(t, "../deploy/gateway.hujson", nil)
	got, err := gateway.ParseSettings("node", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want.LinkMegabits = 0
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// TestUsageTemplate guards against a deployment that asks for usage reports and gets none,
// and against one that does not and gets some.
func TestUsageTemplate(t *testing.T) {
	for _, test := range []struct {
		values map[string]string
		want   gateway.UsageSettings
	}{
		{values: nil, want: gateway.UsageSettings{Late: 10 * time.Second}},
		{values: map[string]string{"bounds.report_window_s": "5", "bounds.usage_late_s": "12"}, want: gateway.UsageSettings{Late: 12 * time.Second, Window: 5 * time.Second}},
	} {
		got, err := gateway.ParseSettings("node", []byte(renderTemplateWith(t, test.values)))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(test.want, got.Usage); diff != "" {
			t.Errorf("values %v (-want +got):\n%s", test.values, diff)
		}
	}
}

// TestBadSettings guards against invalid settings that are accepted, and against an
// error that does not name the file and the key.
func TestBadSettings(t *testing.T) {
	for name, test := range map[string]struct{ old, replacement, want string }{
		"unknown key":  {old: `"MemoryLimit"`, replacement: `"MemoryLimits"`, want: "MemoryLimits"},
		"bad address":  {old: `"10.200.1.7:8466"`, replacement: `"store"`, want: "StoreAddress"},
		"bad duration": {old: `"4500ms"`, replacement: `"soon"`, want: "KeyLease"},
		"no instance":  {old: `"front-mixco-1"`, replacement: `""`, want: "Instance"},
		"out of range": {old: "284", replacement: "1", want: "MemoryLimit"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := gateway.ParseSettings("node", []byte(strings.Replace(renderTemplate(t), test.old, test.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "node:") {
				t.Errorf("error %v, want one that names the file and %s", err, test.want)
			}
		})
	}
}
