package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of each machine, which has an address of its own.
const (
	frontPort   = "8104"
	readyPort   = "8108"
	controlPort = "8106"
)

// node is one machine of the system with its process.
type node struct {
	name string
	ip   string
	zone string
	file string
	dir  string
	rec  *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
	// signalled is the time of the last SIGTERM.
	signalled time.Time
}

// settings are what the settings files of a deployment's machines share.
type settings struct {
	zones  map[string]string
	region string
	seeds  []string
	bounds map[string]any
}

// newNode writes the settings file of a machine.
func newNode(name, ip, zone, dir, storeAddr string, s settings, rec *record) (*node, error) {
	n := &node{name: name, ip: ip, zone: zone, dir: dir, file: filepath.Join(dir, name+".json"), rec: rec}
	return n, n.writeSettings(storeAddr, s, true)
}

func (n *node) writeSettings(storeAddr string, s settings, firstStart bool) error {
	raw, err := json.Marshal(map[string]any{
		"node_name": n.name, "role": "edge", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": n.ip, "zone": n.zone, "region": s.region, "zones": s.zones,
		"listen_addrs":   map[string]string{"front": n.ip + ":" + frontPort, "ready": n.ip + ":" + readyPort, "control": n.ip + ":" + controlPort},
		"internal_ports": []int{7380, 7395}, "seeds": s.seeds, "bootstrap": firstStart, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds":          s.bounds,
		"platform": map[string]any{
			"address": storeAddr, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, raw, 0o600)
}

// daemon is the program, as the deploy file builds and names it.
const daemon = "target/swiftvaned"

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemon)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SWIFTVANE_NODE_FILE=" + n.file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.started = cmd, ended, time.Now()
	n.mu.Unlock()
	running.add(cmd.Process)
	n.rec.write("machine started", fields{"machine": n.name, "pid": cmd.Process.Pid})
	go func() {
		_ = cmd.Wait()
		running.remove(cmd.Process)
		_ = out.Close()
		n.rec.write("machine ended", fields{"machine": n.name})
		close(ended)
	}()
	return nil
}

// ready reports whether the machine answers the balancer with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.ip + ":" + readyPort + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the machine is ready.
func (n *node) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", n.name, within)
}

// grace is the time between SIGTERM and SIGKILL, as in the settings.
const grace = 6 * time.Second

// stop sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (n *node) stop() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.signalled = time.Now()
	n.mu.Unlock()
	n.rec.write("SIGTERM", fields{"machine": n.name})
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		n.kill()
	}
}

// freeze stops the process for a time.
func (n *node) freeze(span time.Duration) {
	n.mu.Lock()
	process := n.cmd.Process
	n.mu.Unlock()
	n.rec.write("machine stands still", fields{"machine": n.name, "for_s": span.Seconds()})
	_ = process.Signal(syscall.SIGSTOP)
	time.AfterFunc(span, func() {
		_ = process.Signal(syscall.SIGCONT)
		n.rec.write("machine wakes", fields{"machine": n.name})
	})
}

// kill sends SIGKILL and waits for the end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// inTouch reports whether the process ran without a start or SIGTERM for the time span.
func (n *node) inTouch(span time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return now.Sub(n.started) > span && now.Sub(n.signalled) > span
}

// processes are the processes that were started and have not ended.
type processes struct {
	mu  sync.Mutex
	all map[*os.Process]bool
}

var running = &processes{all: map[*os.Process]bool{}}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[process] = true
}

func (p *processes) remove(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, process)
}

// kill ends all processes.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process := range p.all {
		_ = process.Kill()
	}
}
