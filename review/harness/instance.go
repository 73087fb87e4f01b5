package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	program      = "target/gatewayd"
	templateFile = "deploy/gateway.hujson"
	// readyTimeout bounds the wait until an instance is ready.
	readyTimeout = 20 * time.Second
)

// Instance is one process of the project, started with the command of the deploy file.
type Instance struct {
	// Front is the address for clients.
	Front string

	command *exec.Cmd
	exited  chan struct{}
	log     *os.File
	name    string
	ready   string
}

// freePorts returns ports that are free for TCP and UDP.
func freePorts(count int) ([]int, error) {
	var ports []int
	var open []interface{ Close() error }
	defer func() {
		for _, o := range open {
			_ = o.Close()
		}
	}()
	for attempt := 0; len(ports) < count && attempt < 100*count; attempt++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, listener)
		port := listener.Addr().(*net.TCPAddr).Port
		datagrams, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		open = append(open, datagrams)
		ports = append(ports, port)
	}
	if len(ports) < count {
		return nil, fmt.Errorf("only %d of %d free ports found", len(ports), count)
	}
	return ports, nil
}

// startInstance fills in the template of the deploy file as the platform does, and
// starts the process. Logs go to the folder.
func startInstance(folder, name, zone, store, cloud string) (*Instance, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	i := &Instance{Front: address(0), exited: make(chan struct{}), name: name, ready: address(1)}
	settings := filepath.Join(folder, name+".hujson")
	content, err := os.ReadFile(templateFile)
	if err != nil {
		return nil, err
	}
	text := string(content)
	for placeholder, value := range map[string]any{
		"zone": zone, "node": name, "ip": "127.0.0.1", "listen.front": i.Front, "listen.ready": i.ready,
		"internal_ports.0": ports[2], "internal_ports.1": ports[3], "limits.memory_mb": 284, "limits.cpu_share": 0.4,
		"cloud.addr": cloud, "platform.addr": store, "bounds.grace_s": 6,
	} {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		text = strings.ReplaceAll(text, "{{"+placeholder+"|json}}", string(encoded))
		text = strings.ReplaceAll(text, "{{"+placeholder+"}}", fmt.Sprint(value))
	}
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("%s has a placeholder that isn't known here", templateFile)
	}
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if i.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	i.command = exec.Command(program, "serve")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "NUTMEGPIER_CONFIG=" + settings, "GOMAXPROCS=1"}
	i.command.Stdout, i.command.Stderr = i.log, i.log
	if err := i.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = i.command.Wait()
		close(i.exited)
	}()
	return i, nil
}

// kill ends the process and waits for its end.
func (i *Instance) kill() {
	_ = i.command.Process.Kill()
	<-i.exited
}

// running reports whether the process has not ended.
func (i *Instance) running() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// isReady sends the platform's probe.
func (i *Instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/nutmegpier/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
