// Command lab plays the scripts of a review: it starts daemons as processes, with stand-ins of the
// platform, of searchers and of clients in this process.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// zones are the zones of the small deployment.
var zones = map[string]string{"suva-a": "viti-levu", "suva-b": "viti-levu", "nadi-a": "viti-levu", "lautoka-a": "viti-levu"}

// lab is one play.
type lab struct {
	trouble bool
	store   *store
	dir     string
	subnet  string
	next    int
	nodes   []*node
	began   time.Time

	mu  sync.Mutex
	out *os.File
}

var current *lab

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if current != nil {
		current.record("cannot run: "+format, args...)
		current.stop()
	}
	os.Exit(exitCannot)
}

// newLab opens the record at path and starts the store.
func newLab(path string) *lab {
	out, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		cannotRun("%v", err)
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", dir: dir, out: out, began: time.Now(), next: 2}
	l.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	current = l
	l.store = newStore(l.addr())
	return l
}

// ip returns the next loopback address of this play.
func (l *lab) ip() string {
	l.next++
	return l.subnet + fmt.Sprint(l.next)
}

// addr returns an address with a free port.
func (l *lab) addr() string { return freePort(l.ip(), 8080) }

// freePort returns an address with the first free port from the given one on. The ports lie below
// those of outgoing connections and of listeners without a fixed port.
func freePort(ip string, port int) string {
	for end := port + 50; port < end; port++ {
		addr := fmt.Sprintf("%s:%d", ip, port)
		if probe, err := net.Listen("tcp", addr); err == nil {
			probe.Close()
			return addr
		}
	}
	cannotRun("no free port on %s", ip)
	return ""
}

// record writes a line with the time since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%9.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// node is one daemon.
type node struct {
	lab                   *lab
	name, zone, ip        string
	front, ready, control string
	settings, logPath     string
	command               *exec.Cmd
	exited                chan struct{}
}

// newNode prepares a daemon without starting it.
func (l *lab) newNode(name, zone string) *node {
	n := &node{lab: l, name: name, zone: zone, ip: l.ip()}
	n.front, n.ready, n.control = freePort(n.ip, 8104), freePort(n.ip, 8204), freePort(n.ip, 8304)
	n.settings = filepath.Join(l.dir, name+".json")
	n.logPath = filepath.Join(l.dir, name+".log")
	l.nodes = append(l.nodes, n)
	return n
}

// bounds are those of the small deployments.
func bounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "sync_s": 4, "drain_ms": 3000, "grace_s": 6,
		"loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250, "max_skew_ms": 12000, "retry_budget_ratio": 0.2,
		"budget_window_s": 10, "retry_budget_slack": 54, "recovery_s": 12,
	}
}

// writeSettings writes the daemon's settings file in the platform's format.
func (n *node) writeSettings(bootstrap bool) {
	var seeds []string
	for _, other := range n.lab.nodes {
		if len(seeds) < 3 {
			seeds = append(seeds, other.control)
		}
	}
	raw, err := json.MarshalIndent(map[string]any{
		"node_name": n.name, "role": "edge", "machine_class": "front", "serves": []string{"front", "control"}, "ip": n.ip,
		"zone": n.zone, "region": "viti-levu", "zones": zones,
		"listen_addrs":   map[string]string{"front": n.front, "ready": n.ready, "control": n.control},
		"internal_ports": []int{7380, 7395}, "seeds": seeds, "bootstrap": bootstrap, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds(),
		"platform": map[string]any{
			"address": n.lab.store.addr, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		cannotRun("%v", err)
	}
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts the daemon with the command of the deploy file.
func (n *node) start(bootstrap bool) {
	n.writeSettings(bootstrap)
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	n.command = exec.Command("target/swiftvaned")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SWIFTVANE_NODE_FILE=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		cannotRun("start of %s: %v", n.name, err)
	}
	exited, command := make(chan struct{}), n.command
	n.exited = exited
	go func() { _ = command.Wait(); close(exited) }()
	n.lab.record("started  %s", n.name)
}

// kill ends the daemon with SIGKILL.
func (n *node) kill() {
	_ = n.command.Process.Kill()
	<-n.exited
	n.lab.record("killed   %s", n.name)
}

// isReady reports whether the daemon answers the readiness check with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all daemons are ready, and then until they are in touch.
func (l *lab) awaitReady() {
	for _, n := range l.nodes {
		for end := time.Now().Add(15 * time.Second); !n.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				log, _ := os.ReadFile(n.logPath)
				cannotRun("%s is not ready; its log ends with %q", n.name, log[max(len(log)-2000, 0):])
			}
		}
	}
	l.record("ready    all daemons")
	time.Sleep(5 * time.Second)
}

// stop ends all daemons.
func (l *lab) stop() {
	for _, n := range l.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}

// finish ends the play and exits.
func (l *lab) finish(broken bool, format string, args ...any) {
	verdict, code := "HELD", exitHeld
	if broken {
		verdict, code = "BROKEN", exitBroken
	}
	text := verdict + ": " + fmt.Sprintf(format, args...)
	l.record("%s", text)
	fmt.Println(text)
	l.stop()
	os.Exit(code)
}

// route returns a route of a configuration.
func route(name, kind string, timeoutMS, sloMS, attempts int, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "snap.example", "prefix": "/" + name + "/", "type": kind, "timeout_ms": timeoutMS, "slo_ms": sloMS,
		"priority": 2, "attempts": attempts, "service": service,
	}
}

// config returns a configuration.
func config(version int, conns map[string]int, routes ...map[string]any) map[string]any {
	var services []map[string]any
	for name, max := range conns {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": max, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: lab PLAY FOLDER")
	}
	play, ok := plays[os.Args[1]]
	if !ok {
		cannotRun("no play %q", os.Args[1])
	}
	l := newLab(filepath.Join(os.Args[2], "record.txt"))
	l.record("play     %s, disruption %v", strings.ToUpper(os.Args[1]), l.trouble)
	play(l)
}

var plays = map[string]func(*lab){}
