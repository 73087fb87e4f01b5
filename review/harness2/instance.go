package harness2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// loopback is the address of all processes and stand-ins.
	loopback = "127.0.0.1"
	// program and template are those of deploy/system.toml.
	program  = "target/gatewayd"
	template = "deploy/instance.hujson"
	// memoryMB, descriptors and graceSeconds are those of the machines of cpq-pier.
	memoryMB     = 284
	descriptors  = 4200
	graceSeconds = 6
	// Scripts that run at the same time use different blocks of portBlock ports, from
	// firstPort on: below the range from which the system takes the ports of connections.
	firstPort  = 20_000
	portBlock  = 64
	portBlocks = 190
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 5 * time.Millisecond
)

// Instance is a process of the project.
type Instance struct {
	// Callers is the address for clients.
	Callers string

	metrics, peers, ready string
	command               *exec.Cmd
	done                  chan struct{}
	name, zone            string

	mu sync.Mutex
	// exceeded is true once the process was ended because of its memory.
	exceeded bool
	peakKB   int
}

// Deployment is a set of instances that use the same store and services.
type Deployment struct {
	cloud     string
	directory string
	Instances []*Instance
	nextPort  int
	record    *Record
	store     *Store
}

func newDeployment(rec *Record, st *Store, cloud string) *Deployment {
	directory, err := os.MkdirTemp("", "nutmegpier-case-")
	check(err)
	var limit syscall.Rlimit
	check(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	limit.Cur = min(descriptors, limit.Max)
	check(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
	d := &Deployment{cloud: cloud, directory: directory, nextPort: firstPort + os.Getpid()%portBlocks*portBlock, record: rec, store: st}
	cleanUp = d.Stop
	return d
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i%4) }

// freeAddress returns an address with a free port below the range from which the system
// takes the ports of connections.
func (d *Deployment) freeAddress() string {
	for {
		d.nextPort++
		address := loopback + ":" + strconv.Itoa(d.nextPort)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = udp.Close()
		return address
	}
}

// startInstances starts a number of instances and waits until they are ready.
func (d *Deployment) startInstances(count int) {
	for n := range count {
		i := &Instance{Callers: d.freeAddress(), metrics: d.freeAddress(), name: "front-" + strconv.Itoa(n), peers: d.freeAddress(), ready: d.freeAddress(), zone: zoneName(n)}
		d.start(i)
		d.Instances = append(d.Instances, i)
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range d.Instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == count {
			d.record.Add("ready", "instances", strconv.Itoa(count))
			return
		}
	}
	check(fmt.Errorf("the %d instances are not ready", count))
}

// settings fills in the template as the platform does.
func (d *Deployment) settings(i *Instance) string {
	content, err := os.ReadFile(template)
	check(err)
	_, metricsPort, _ := net.SplitHostPort(i.metrics)
	_, peersPort, _ := net.SplitHostPort(i.peers)
	filled := regexp.MustCompile(`(?s)\{\{#.*?\}\}.*\{\{/.*?\}\}`).ReplaceAllString(string(content), "")
	return strings.NewReplacer(
		"{{zone|json}}", strconv.Quote(i.zone), "{{node|json}}", strconv.Quote(i.name), "{{limits.link_mbps}}", "1000.0",
		"{{listen.front|json}}", strconv.Quote(i.Callers), "{{listen.ready|json}}", strconv.Quote(i.ready), "{{ip}}", loopback,
		"{{internal_ports.0}}", metricsPort, "{{internal_ports.1}}", peersPort, "{{limits.memory_mb}}", strconv.Itoa(memoryMB),
		"{{limits.cpu_share}}", "0.4", "{{cloud.addr|json}}", strconv.Quote(d.cloud), "{{bounds.grace_s}}", strconv.Itoa(graceSeconds),
		"{{platform.addr|json}}", strconv.Quote(d.store.address),
	).Replace(filled)
}

// start starts the process of an instance.
func (d *Deployment) start(i *Instance) {
	file := filepath.Join(d.directory, i.name+".hujson")
	check(os.WriteFile(file, []byte(d.settings(i)), 0o600))
	output, err := os.Create(filepath.Join(d.directory, i.name+".log"))
	check(err)
	i.command = exec.Command(program, "serve")
	i.command.Env = append(os.Environ(), "NUTMEGPIER_CONFIG="+file, "GOMAXPROCS=1")
	i.command.Stdout, i.command.Stderr = output, output
	check(i.command.Start())
	i.done = make(chan struct{})
	command, done := i.command, i.done
	go func() {
		_ = command.Wait()
		_ = output.Close()
		d.record.Add("process-ended", "instance", i.name, "state", strings.ReplaceAll(command.ProcessState.String(), " ", "-"))
		close(done)
	}()
	go i.watchMemory(d.record, command.Process.Pid, done)
}

// watchMemory ends the process if it exceeds its memory, as the platform does.
func (i *Instance) watchMemory(rec *Record, pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryInterval):
		}
		kb := anonymousKB(pid)
		i.mu.Lock()
		i.peakKB = max(i.peakKB, kb)
		i.exceeded = kb > memoryMB<<10
		exceeded := i.exceeded
		i.mu.Unlock()
		if exceeded {
			rec.Add("memory-exceeded", "instance", i.name, "resident_mb", strconv.Itoa(kb>>10), "limit_mb", strconv.Itoa(memoryMB))
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// anonymousKB returns the resident memory of a process without its program file.
func anonymousKB(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, found := strings.Cut(string(status), "RssAnon:")
	if !found {
		return 0
	}
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kb
}

func (i *Instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/nutmegpier/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// exceeded returns the number of processes that exceeded their memory, and the largest peak
// of all.
func (d *Deployment) exceeded() (count, peakMB int) {
	for _, i := range d.Instances {
		i.mu.Lock()
		if i.exceeded {
			count++
		}
		peakMB = max(peakMB, i.peakKB>>10)
		i.mu.Unlock()
	}
	return count, peakMB
}

// KillAll kills all processes.
func (d *Deployment) KillAll() {
	for _, i := range d.Instances {
		_ = i.command.Process.Kill()
	}
	for _, i := range d.Instances {
		<-i.done
	}
}

// RestartAll starts all processes again.
func (d *Deployment) RestartAll() {
	for _, i := range d.Instances {
		d.start(i)
	}
	d.record.Add("restarted")
}

// Stop ends all processes and removes their files.
func (d *Deployment) Stop() {
	d.KillAll()
	_ = os.RemoveAll(d.directory)
}
