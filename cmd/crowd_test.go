package cmd_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/demo"
)

const (
	// crowdMemoryLimit bounds the peak resident memory of an instance in megabytes. It
	// is less than that of the smallest machine (136 MB).
	crowdMemoryLimit = 96
	// crowdDescriptors is the descriptor limit of an instance in the cases about memory,
	// scarceDescriptors that in the cases about descriptors, of which a quarter is left
	// for other connections.
	crowdDescriptors, scarceDescriptors = 1024, 256
	maxOpenDescriptors                  = scarceDescriptors * 3 / 4
	// crowdSessions is the number of sessions that each send crowdBytes.
	crowdSessions, crowdBytes = 200, 900 << 10
	// crowdConnections is the number of connections in the cases about descriptors.
	crowdConnections = 400
	// stateSessions and stateStatements are the number of sessions that keep prepared
	// statements of crowdBytes, and the number of these in each.
	stateSessions, stateStatements = 16, 12
	// crowdTimeout is how long a caller of a crowd tries to connect or to send.
	crowdTimeout = 5 * time.Second
	// settlePeriod is how long memory and descriptors must stay the same until the
	// instance counts as having read what was sent.
	settlePeriod = time.Second
)

// servedProcess is an instance that runs as a process of its own with the stand-ins of
// a demo.
type servedProcess struct {
	admin   string
	callers string
	command *exec.Cmd
	done    chan struct{}
	t       *testing.T
	url     string
}

// startServe starts an instance with a limit on its descriptors and waits until it
// answers a query. A lock on a file keeps test binaries from measuring at the same time.
func startServe(t *testing.T, descriptors int) *servedProcess {
	t.Helper()
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "nutmegpier-process-tests.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	binary := filepath.Join(directory, "nutmegpier")
	if output, err := exec.Command("go", "build", "-o", binary, "github.com/nutmegpier/nutmegpier").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, output)
	}
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	deployment, err := demo.Start(ctx, demo.Options{Deployments: demo.Deployments(), Instances: 1, Listen: "127.0.0.1:0", LogFormat: "text", LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = deployment.Close() })
	external, err := deployment.AddExternalInstance(directory, 1)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := url.Parse(external.URLs[0])
	if err != nil {
		t.Fatal(err)
	}
	p := &servedProcess{admin: strings.TrimPrefix(external.AdminURL, "http://"), callers: parsed.Host, done: make(chan struct{}), t: t, url: external.URLs[0]}
	p.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve --config "$1"`, descriptors), binary, external.SettingsPath)
	var output bytes.Buffer
	p.command.Stdout, p.command.Stderr = &output, &output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.done
		if t.Failed() {
			lines := strings.Split(strings.TrimSpace(output.String()), "\n")
			t.Logf("last lines of the instance:\n%s", strings.Join(lines[max(0, len(lines)-5):], "\n"))
		}
	})
	p.awaitQuery()
	return p
}

// waitFor polls until the condition holds, and fails the test after processTimeout.
func (p *servedProcess) waitFor(step string, condition func() bool) {
	p.t.Helper()
	timeout := time.NewTimer(processTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(processPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-p.done:
			p.t.Fatalf("waiting for %s: the instance ended", step)
		case <-timeout.C:
			p.t.Fatalf("waiting for %s: condition not met within %v", step, processTimeout)
		case <-ticker.C:
		}
	}
}

// awaitQuery waits until the instance answers an ordinary query.
func (p *servedProcess) awaitQuery() {
	p.t.Helper()
	p.waitFor("answer to an ordinary query", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), crowdTimeout)
		defer cancel()
		conn, err := pgx.Connect(ctx, p.url)
		if err != nil {
			return false
		}
		defer conn.Close(ctx)
		_, err = conn.Exec(ctx, "SELECT count(*) FROM die_runs")
		return err == nil
	})
}

// awaitSettled waits until the peak memory in kilobytes and the number of descriptors
// stay the same, and returns the former and the maximum of the latter.
func (p *servedProcess) awaitSettled() (memory, highest int) {
	p.t.Helper()
	descriptors := 0
	var since time.Time
	p.waitFor("steady memory and descriptors", func() bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		if err != nil {
			p.t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(status), "VmHWM:")
		nowMemory, err := strconv.Atoi(strings.Fields(rest)[0])
		if err != nil {
			p.t.Fatal(err)
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		if err != nil {
			p.t.Fatal(err)
		}
		highest = max(highest, len(entries))
		if nowMemory != memory || len(entries) != descriptors {
			memory, descriptors, since = nowMemory, len(entries), time.Now()
		}
		return time.Since(since) >= settlePeriod
	})
	return memory, highest
}

// checkMemory checks the peak memory once the instance has read what was sent.
func (p *servedProcess) checkMemory() {
	p.t.Helper()
	const kilobytes = 1 << 10
	if memory, _ := p.awaitSettled(); memory > crowdMemoryLimit*kilobytes {
		p.t.Errorf("peak resident memory %d MB, want at most %d MB", memory/kilobytes, crowdMemoryLimit)
	}
}

// checkDescriptors checks the open descriptors once the instance has accepted the
// connections.
func (p *servedProcess) checkDescriptors() {
	p.t.Helper()
	if _, descriptors := p.awaitSettled(); descriptors > maxOpenDescriptors {
		p.t.Errorf("%d open descriptors, want at most %d of %d", descriptors, maxOpenDescriptors, scarceDescriptors)
	}
}

// each opens connections at the same time, calls use for each and waits for it. The
// connections stay open until the test ends. Refused connections are left out.
func (p *servedProcess) each(count int, open func(ctx context.Context) net.Conn, use func(conn net.Conn)) {
	var running sync.WaitGroup
	for range count {
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), crowdTimeout)
			defer cancel()
			conn := open(ctx)
			if conn == nil {
				return
			}
			p.t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			use(conn)
		})
	}
	running.Wait()
}

// connect opens a connection without a session.
func connect(address string) func(ctx context.Context) net.Conn {
	return func(ctx context.Context) net.Conn {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil
		}
		return conn
	}
}

// login opens a session.
func (p *servedProcess) login(ctx context.Context) net.Conn {
	conn, err := pgconn.Connect(ctx, p.url)
	if err != nil {
		return nil
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil
	}
	return hijacked.Conn
}

// frame returns a protocol message.
func frame(messageType byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{messageType}, uint32(len(body)+4)), body...)
}

// TestSessionsStopHalfWay guards against incomplete messages of many sessions that use
// up the memory.
func TestSessionsStopHalfWay(t *testing.T) {
	p := startServe(t, crowdDescriptors)
	message := frame('Q', "SELECT '"+strings.Repeat("x", 1<<20))
	p.each(crowdSessions, p.login, func(conn net.Conn) { _, _ = conn.Write(message[:crowdBytes]) })
	p.checkMemory()
	p.awaitQuery()
}

// TestSessionsSendLargeMessages guards against complete messages that many sessions
// send at the same time and that use up the memory.
func TestSessionsSendLargeMessages(t *testing.T) {
	p := startServe(t, crowdDescriptors)
	message := frame('Q', "SELECT '"+strings.Repeat("x", crowdBytes)+"'\x00")
	p.each(crowdSessions, p.login, func(conn net.Conn) { _, _ = conn.Write(message) })
	p.checkMemory()
	p.awaitQuery()
}

// TestSessionsSendNoSync guards against batches that are not completed and use up the
// memory.
func TestSessionsSendNoSync(t *testing.T) {
	p := startServe(t, crowdDescriptors)
	parse := frame('P', "\x00SELECT '"+strings.Repeat("x", crowdBytes/8)+"'\x00\x00\x00")
	p.each(crowdSessions, p.login, func(conn net.Conn) { _, _ = conn.Write(bytes.Repeat(parse, 8)) })
	p.checkMemory()
	p.awaitQuery()
}

// TestSessionsKeepStatements guards against prepared statements that use up the memory.
func TestSessionsKeepStatements(t *testing.T) {
	p := startServe(t, crowdDescriptors)
	value := strings.Repeat("x", crowdBytes)
	p.each(stateSessions, p.login, func(conn net.Conn) {
		for number := range stateStatements {
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			message := append(frame('P', fmt.Sprintf("s%d\x00SELECT '%s'\x00\x00\x00", number, value)), frame('S', "")...)
			if _, err := conn.Write(message); err != nil {
				return
			}
			if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
				return
			}
		}
	})
	p.checkMemory()
	p.awaitQuery()
}

// TestConnectionsSendNothing guards against connections without a session that use up
// the descriptors.
func TestConnectionsSendNothing(t *testing.T) {
	p := startServe(t, scarceDescriptors)
	p.each(crowdConnections, connect(p.callers), func(net.Conn) {})
	p.checkDescriptors()
	p.awaitQuery()
}

// TestAdminGetsNoRequests guards against connections to the administration port that
// use up the descriptors.
func TestAdminGetsNoRequests(t *testing.T) {
	p := startServe(t, scarceDescriptors)
	p.each(crowdConnections, connect(p.admin), func(net.Conn) {})
	p.checkDescriptors()
	p.awaitQuery()
}

// TestAdminGetsLargeHeaders guards against incomplete headers on the administration port
// that use up the memory.
func TestAdminGetsLargeHeaders(t *testing.T) {
	p := startServe(t, crowdDescriptors)
	headers := http.MethodGet + " /readyz HTTP/1.1\r\nHost: a\r\nX-Padding: " + strings.Repeat("x", crowdBytes)
	p.each(crowdSessions, connect(p.admin), func(conn net.Conn) { _, _ = io.WriteString(conn, headers) })
	p.checkMemory()
	p.awaitQuery()
}
