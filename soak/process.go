package soak

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/platform/standin"
)

// restartDelay is the time between the exit of a daemon and its restart.
const restartDelay = 200 * time.Millisecond

// daemon is one daemon, including its restarts. Each start runs a new process, called an
// incarnation.
type daemon struct {
	settings standin.DaemonSettings
	// programOf returns the path of the program for an incarnation. The first one is 1.
	programOf func(incarnation int) string
	// settingsFile is the path of the settings file. log receives the output of all incarnations.
	settingsFile string
	log          *os.File
	// frontProxy carries requests from callers, directoryProxy their queries for daemon addresses.
	// storeProxy carries the daemon's connections to the store.
	frontProxy, directoryProxy, storeProxy *proxy
	// onLeading is called when the daemon has become leader.
	onLeading func(d *daemon)

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the running process has exited.
	exited chan struct{}
	// incarnation is the number of times that the daemon was started.
	incarnation int
	// isKilled is true once SIGKILL was sent to the running process.
	isKilled bool
	// restartDisabled keeps the daemon from being started. frozen is true between SIGSTOP and
	// SIGCONT. stopping is true after a planned stop was requested.
	restartDisabled, frozen, stopping bool
	// stopBeganAt is when the last planned stop was requested.
	stopBeganAt time.Time
	// disturbedAt is when the daemon was last killed, frozen or resumed.
	disturbedAt time.Time
	// unexpectedExits counts the exits that the soak did not cause.
	unexpectedExits int
}

// findFreePorts returns count free TCP ports of an IP address.
func findFreePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, failure.Wrap(failure.Unavailable, "choose a port", ip, err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// prepareFiles creates the daemon's log file in dir and sets the path of its settings file.
func (d *daemon) prepareFiles(dir string) error {
	d.settingsFile = filepath.Join(dir, d.settings.Name+".toml")
	log, err := os.Create(filepath.Join(dir, d.settings.Name+".log"))
	if err != nil {
		return failure.Wrap(failure.Invalid, "open log", d.settings.Name, err)
	}
	d.log = log
	return nil
}

// start writes the settings and starts the next incarnation. It does nothing if the daemon runs or
// its restart is disabled.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil || d.restartDisabled {
		return nil
	}
	settings := d.settings
	settings.Bootstrap = d.incarnation == 0
	if err := os.WriteFile(d.settingsFile, []byte(settings.Text()), 0o600); err != nil {
		return failure.Wrap(failure.Invalid, "write settings", settings.Name, err)
	}
	command := exec.Command(d.programOf(d.incarnation + 1))
	command.Env = append(os.Environ(), standin.SettingsVariable+"="+d.settingsFile)
	command.Stderr = d.log
	output, err := command.StdoutPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		return failure.Wrap(failure.Unavailable, "start daemon", d.settings.Name, err)
	}
	d.incarnation++
	d.command, d.exited, d.stopping, d.frozen, d.isKilled = command, make(chan struct{}), false, false, false
	go d.watch(command, output, d.exited)
	return nil
}

// watch copies the output of an incarnation to the log, calls onLeading when the daemon becomes
// leader, and starts the next incarnation after the exit unless restarts are disabled.
func (d *daemon) watch(command *exec.Cmd, output io.Reader, exited chan struct{}) {
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		// The log is only for diagnosis, so write errors are ignored.
		_, _ = d.log.WriteString(line)
		if strings.Contains(line, `"@message":"leading"`) {
			d.onLeading(d)
		}
		if err != nil {
			break
		}
	}
	// Unexpected exits are detected below, so the exit status is not needed.
	_ = command.Wait()
	d.mu.Lock()
	if !d.stopping && !d.isKilled {
		d.unexpectedExits++
	}
	d.command = nil
	close(exited)
	d.mu.Unlock()
	time.Sleep(restartDelay)
	// A failed restart has no handler here. The daemon then stays down.
	_ = d.start()
}

// signal sends a signal to the running process, if there is one.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return
	}
	if s != syscall.SIGTERM {
		d.disturbedAt = time.Now()
	}
	// If the process has exited already, nobody killed it.
	err := d.command.Process.Signal(s)
	d.isKilled = d.isKilled || s == syscall.SIGKILL && err == nil
}

// kill sends SIGKILL to the running process. If stayDown is true, the daemon is not restarted until
// enableRestart is called.
func (d *daemon) kill(stayDown bool) {
	d.mu.Lock()
	d.restartDisabled = stayDown
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
}

// enableRestart starts a daemon that was kept down.
func (d *daemon) enableRestart() error {
	d.mu.Lock()
	d.restartDisabled = false
	d.mu.Unlock()
	return d.start()
}

// stop sends SIGTERM and reports whether the daemon exited within its grace period. If it did not,
// stop kills it.
func (d *daemon) stop() bool {
	d.mu.Lock()
	exited := d.exited
	running := d.command != nil
	if running && !d.stopping {
		d.stopBeganAt = time.Now()
	}
	d.stopping = running
	d.mu.Unlock()
	if !running {
		return true
	}
	const slack = 500 * time.Millisecond
	d.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(d.settings.StopGracePeriod + slack):
		d.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// isUndisturbedSince reports whether the daemon runs and has not been killed or frozen since a
// time.
func (d *daemon) isUndisturbedSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command != nil && !d.frozen && d.disturbedAt.Before(t)
}

// isUnharmedSince reports whether the daemon has not been killed or frozen since a time. Unlike with
// isUndisturbedSince, it may have been stopped as planned.
func (d *daemon) isUnharmedSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return (d.command != nil || d.stopping) && !d.frozen && d.disturbedAt.Before(t)
}

// mayHaveCut reports whether the end of a planned stop excuses an answer that ends now: the stop is nearly over,
// and the request was sent while callers may have the daemon's address.
func (d *daemon) mayHaveCut(sentAt time.Time) bool {
	const addressLifetime = 3 * time.Second
	d.mu.Lock()
	defer d.mu.Unlock()
	isNearlyOver := time.Since(d.stopBeganAt) >= d.settings.StopGracePeriod*5/6
	return d.stopping && isNearlyOver && !sentAt.After(d.stopBeganAt.Add(addressLifetime))
}

// status returns the current incarnation and whether a planned stop was requested.
func (d *daemon) status() (incarnation int, stopping bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation, d.stopping
}
