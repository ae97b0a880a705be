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

// restartAfter is how long after its end a daemon is started again.
const restartAfter = 200 * time.Millisecond

// daemon is one daemon over all its lives, each a process of its own.
type daemon struct {
	settings standin.DaemonSettings
	// program returns the program of a life, of which the first is 1.
	program func(life int) string
	// file holds the settings, log what the lives wrote.
	file string
	log  *os.File
	// front, directory and store are the links to and from it.
	front, directory, store *proxy
	led                     func(d *daemon)

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	life    int
	// held tells that it is not to be started again, frozen that it stands
	// still, stopping that it was told to stop.
	held, frozen, stopping bool
	// harmedAt is when it was last killed, frozen or woken.
	harmedAt time.Time
	// strangeEnds counts the ends that nobody asked for.
	strangeEnds int
}

// freePorts returns ports of an address that the kernel chooses.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, failure.At(failure.Unavailable, "choose a port", ip, err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// prepare opens the log.
func (d *daemon) prepare(dir string) error {
	d.file = filepath.Join(dir, d.settings.Name+".toml")
	log, err := os.Create(filepath.Join(dir, d.settings.Name+".log"))
	if err != nil {
		return failure.At(failure.Invalid, "open log", d.settings.Name, err)
	}
	d.log = log
	return nil
}

// start begins a life.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil || d.held {
		return nil
	}
	settings := d.settings
	settings.Bootstrap = d.life == 0
	if err := os.WriteFile(d.file, []byte(settings.Text()), 0o600); err != nil {
		return failure.At(failure.Invalid, "write settings", settings.Name, err)
	}
	command := exec.Command(d.program(d.life + 1))
	command.Env = append(os.Environ(), standin.SettingsVariable+"="+d.file)
	command.Stderr = d.log
	output, err := command.StdoutPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		return failure.At(failure.Unavailable, "start daemon", d.settings.Name, err)
	}
	d.life++
	d.command, d.ended, d.stopping, d.frozen = command, make(chan struct{}), false, false
	go d.watch(command, output, d.ended)
	return nil
}

// watch keeps what a life writes and starts the next one when it has ended.
func (d *daemon) watch(command *exec.Cmd, output io.Reader, ended chan struct{}) {
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		// The log is for people; a line that is lost fails nothing.
		_, _ = d.log.WriteString(line)
		if strings.Contains(line, `"@message":"leading"`) {
			d.led(d)
		}
		if err != nil {
			break
		}
	}
	// How it ended is told by who ended it.
	_ = command.Wait()
	d.mu.Lock()
	if !d.stopping && time.Since(d.harmedAt) > time.Second {
		d.strangeEnds++
	}
	d.command = nil
	close(ended)
	d.mu.Unlock()
	time.Sleep(restartAfter)
	// A daemon that cannot be started again shows as missing at the end.
	_ = d.start()
}

// signal sends a signal to the present life, if there is one.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return
	}
	if s != syscall.SIGTERM {
		d.harmedAt = time.Now()
	}
	// A process that has just ended needs no signal.
	_ = d.command.Process.Signal(s)
}

// kill ends the present life at once; off keeps the next one from starting.
func (d *daemon) kill(off bool) {
	d.mu.Lock()
	d.held = off
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
}

// revive lets a daemon that was held start again.
func (d *daemon) revive() error {
	d.mu.Lock()
	d.held = false
	d.mu.Unlock()
	return d.start()
}

// stop tells a daemon to stop and reports whether it did within its grace.
func (d *daemon) stop() bool {
	d.mu.Lock()
	ended := d.ended
	running := d.command != nil
	d.stopping = running
	d.mu.Unlock()
	if !running {
		return true
	}
	const slack = 500 * time.Millisecond
	d.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(d.settings.Grace + slack):
		d.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// quietSince reports whether a daemon has lived in peace since a time.
func (d *daemon) quietSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command != nil && !d.frozen && d.harmedAt.Before(t)
}

// status returns which life this is and whether the daemon is told to stop.
func (d *daemon) status() (life int, stopping bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life, d.stopping
}
