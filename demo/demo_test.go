package demo_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/demo"
)

// startTimeout bounds the start of a demo, including the sheet's publication.
const startTimeout = time.Minute

func options(listen string, instances int) demo.Options {
	return demo.Options{
		Deployments: demo.Deployments()[:1],
		Instances:   instances,
		Listen:      listen,
		LogFormat:   "text",
		LogOutput:   io.Discard,
	}
}

// TestDemo guards against connection URLs that clients cannot use, and against fault
// commands that run although their arguments are wrong.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	d, err := demo.Start(ctx, options("127.0.0.1:0", 2))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	}()
	t.Run("URLs", func(t *testing.T) { checkURLs(t, d) })
	t.Run("Faults", func(t *testing.T) { checkFaults(t, d) })
}

func checkURLs(t *testing.T, d *demo.Demo) {
	urls := d.URLs()
	if want := 2 * len(d.Keys()); len(urls) != want {
		t.Fatalf("%d URLs, want %d", len(urls), want)
	}
	for index, rawURL := range urls {
		parsed, err := url.Parse(rawURL)
		if err != nil {
			t.Fatal(err)
		}
		key := d.Keys()[index/2]
		password, _ := parsed.User.Password()
		got := []string{parsed.Scheme, parsed.User.Username(), password, parsed.Path}
		want := []string{"postgres", string(key.Workspace), key.Key, "/" + string(key.Databases[0])}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("URL %d (-want +got):\n%s", index, diff)
		}
	}
}

func checkFaults(t *testing.T, d *demo.Demo) {
	cases := map[string]string{
		"":                                   "",
		"bogus":                              `demo: fault: unknown command "bogus"; help lists the commands`,
		"crash-primary":                      "demo: fault: crash-primary: argument DATABASE is missing",
		"crash-primary none":                 `demo: fault: unknown database "none"`,
		"crash-primary quetzal_orders extra": `demo: fault: crash-primary: unexpected argument "extra"`,
		"heal none":                          `demo: fault: unknown database "none"`,
		"kill-instance":                      "demo: fault: kill-instance: argument INSTANCE is missing",
		"kill-instance none":                 `demo: end instance: unknown instance "none"`,
		"stop-store now":                     `demo: fault: stop-store: unexpected argument "now"`,
	}
	for command, want := range cases {
		got := ""
		if err := d.RunFaultCommand(command); err != nil {
			got = err.Error()
			var failed *demo.Error
			if !errors.As(err, &failed) || failed.Kind != demo.KindCommand {
				t.Errorf("command %q: error %v is not of kind %s", command, err, demo.KindCommand)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q (-want +got):\n%s", command, diff)
		}
	}
	if got := len(d.Instances()); got != 2 {
		t.Errorf("%d instances are running after invalid commands, want 2", got)
	}
}

// TestBusyPort guards against a start that hangs or leaves ports open if the port of
// the second instance is already in use.
func TestBusyPort(t *testing.T) {
	first, second := listenOnConsecutivePorts(t)
	_ = first.Close()
	defer second.Close()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	_, err := demo.Start(ctx, options(first.Addr().String(), 2))
	if err == nil || !strings.Contains(err.Error(), second.Addr().String()) {
		t.Fatalf("Start returned error %v, want one that contains the address %s", err, second.Addr())
	}
	reopened, err := net.Listen("tcp", first.Addr().String())
	if err != nil {
		t.Fatalf("the port of the first instance was left open: %v", err)
	}
	_ = reopened.Close()
}

// listenOnConsecutivePorts returns listeners on two consecutive ports.
func listenOnConsecutivePorts(t *testing.T) (first, second net.Listener) {
	t.Helper()
	const attempts = 100
	for range attempts {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+1)))
		if err == nil {
			return first, second
		}
		_ = first.Close()
	}
	t.Fatalf("found no two consecutive free ports in %d attempts", attempts)
	return nil, nil
}
