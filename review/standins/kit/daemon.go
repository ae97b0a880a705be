package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceS is the time between SIGTERM and SIGKILL, in seconds.
const graceS = 8

// settingsText is the settings file of a small deployment (DEPLOY.md), with gaps for what differs
// between machines.
const settingsText = `node = %[1]q
role = "daemon"
machine_class = "front"
serves = ["front","directory"]
ip = %[2]q
zone = %[3]q
region = "oslo"
port_range = [%[4]d,%[4]d]
seeds = []
bootstrap = %[5]t
in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
oslo-a = "oslo"
oslo-b = "oslo"
oslo-c = "oslo"
[listen]
front = "%[2]s:%[6]d"
ready = "%[2]s:%[7]d"
directory = "%[2]s:%[8]d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget = 0.2
budget_window_s = 10
budget_extra = 103
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 6000
require_fence = true
ceiling_window_s = 5
ceiling_over = 1.1
ttl_max_s = 5
[provider]
address = %[9]q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`

// Daemon is one daemon of the project, run as a process of its own.
type Daemon struct {
	Name, Zone, IP string
	// Front is where callers are served, HOST:PORT; Ready is that of the readiness check.
	Front, Ready string
	program      string
	settingsFile string
	record       *Record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// lives is the number of starts so far.
	lives int
	leads bool
}

// NewDaemon returns a daemon at an address of its own, with ports that are free now. It writes its
// settings file into dir.
func NewDaemon(program, dir, name, zone, ip, store string, record *Record) (*Daemon, error) {
	var ports []int
	var held []net.Listener
	for range 4 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range held {
		_ = l.Close()
	}
	d := &Daemon{
		Name: name, Zone: zone, IP: ip, Front: fmt.Sprintf("%s:%d", ip, ports[1]), Ready: fmt.Sprintf("%s:%d", ip, ports[2]),
		program: program, settingsFile: filepath.Join(dir, name+".toml"), record: record,
	}
	started.Lock()
	started.daemons = append(started.daemons, d)
	started.Unlock()
	text := fmt.Sprintf(settingsText, name, ip, zone, ports[0], true, ports[1], ports[2], ports[3], store)
	return d, os.WriteFile(d.settingsFile, []byte(text), 0o600)
}

// started holds all daemons of this script.
var started struct {
	sync.Mutex
	daemons []*Daemon
}

// EndOnSignal ends all daemons and exits with 2 when the script is interrupted or terminated.
func EndOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		started.Lock()
		defer started.Unlock()
		for _, d := range started.daemons {
			d.mu.Lock()
			if d.command != nil {
				_ = d.command.Process.Kill()
			}
			d.mu.Unlock()
		}
		os.Exit(2)
	}()
}

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	command := exec.Command(d.program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUARTZSHELF_SETTINGS=" + d.settingsFile}
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.Stderr = command.Stdout
	if err := command.Start(); err != nil {
		return err
	}
	d.lives++
	d.command, d.exited, d.leads = command, make(chan struct{}), false
	d.record.Write("daemon %s starts, life %d", d.Name, d.lives)
	go d.watch(command, output, d.exited, d.lives)
	return nil
}

// loggedMessages holds the log messages of daemons that are copied to the record.
var loggedMessages = []string{"leading", "leadership ended", "source unreachable", "source reachable again", "started", "stopping", "panic", "fatal"}

func (d *Daemon) watch(command *exec.Cmd, output io.Reader, exited chan struct{}, life int) {
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		d.observe(line)
		if err != nil {
			break
		}
	}
	err := command.Wait()
	d.record.Write("daemon %s life %d ended: %v", d.Name, life, err)
	d.mu.Lock()
	d.leads = false
	d.mu.Unlock()
	close(exited)
}

func (d *Daemon) observe(line string) {
	var entry struct {
		Message string `json:"@message"`
		Of      string `json:"of"`
	}
	if json.Unmarshal([]byte(line), &entry) != nil {
		if line = strings.TrimSpace(line); line != "" {
			d.record.Write("daemon %s: %.200s", d.Name, line)
		}
		return
	}
	for _, m := range loggedMessages {
		if strings.Contains(entry.Message, m) {
			d.record.Write("daemon %s: %s %s", d.Name, entry.Message, entry.Of)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch entry.Message {
	case "leading":
		d.leads = true
	case "leadership ended":
		d.leads = false
	}
}

// Leads reports whether the daemon's log says that it leads.
func (d *Daemon) Leads() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leads
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Write("daemon %s gets %s", d.Name, s)
	// The process may have ended already.
	_ = d.command.Process.Signal(s)
}

// Exited returns a channel that is closed when the current process has ended.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// End kills the process, if it was started, and waits for its end.
func (d *Daemon) End() {
	d.mu.Lock()
	command, exited := d.command, d.exited
	d.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// AwaitReady waits until the daemon answers the readiness check with 200, and reports whether it
// did within the timeout.
func (d *Daemon) AwaitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.Ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// ResidentMB returns the resident memory of the process in MiB; 0 if it does not run.
func (d *Daemon) ResidentMB() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	var total, resident int
	if _, err := fmt.Sscan(string(data), &total, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}
