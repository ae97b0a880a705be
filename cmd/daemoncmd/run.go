// Package daemoncmd implements the command line of the quartzshelf daemon.
package daemoncmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/cmd/common"
	"quartzshelf.dev/daemon"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// applyTimeout is the maximum duration of the publication of the initial configuration.
// replicaTimeout is the maximum wait for the first replica after the publication.
const (
	applyTimeout   = 20 * time.Second
	replicaTimeout = time.Minute
)

type commandLine struct {
	Settings      string `help:"YAML file of settings." required:"" type:"existingfile" short:"s"`
	CheckSettings bool   `help:"Check the settings and exit."`
}

// Run runs the daemon until it receives SIGINT or SIGTERM, and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var flags commandLine
	if !common.Parse("quartzshelfd", "Serves models whose replicas span several nodes.", &flags, args, stdout, stderr) {
		return exitSettings
	}
	settings, err := daemon.ReadSettings(flags.Settings)
	if err != nil {
		fmt.Fprintln(stderr, "quartzshelfd:", err)
		return exitSettings
	}
	if flags.CheckSettings {
		fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "quartzshelfd", Level: hclog.LevelFromString(settings.Log.Level),
		JSONFormat: settings.Log.Format == "json", Output: stderr,
	})
	return serve(settings, logger, stdout)
}

// serve runs a daemon until SIGINT or SIGTERM and then stops it gracefully. A second signal
// makes serve return without waiting for the graceful stop.
func serve(settings *daemon.Settings, logger hclog.Logger, stdout io.Writer) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	d, err := daemon.New(settings, logger)
	if err != nil {
		logger.Error("cannot start", "error", err)
		return exitFailed
	}
	d.Start()
	callers, operators := d.Addresses()
	logger.Info("started", "callers", callers, "operators", operators)
	if file := settings.ConfigurationFile(); file != "" {
		if err := applyInitialConfiguration(d, file); err != nil {
			logger.Error("cannot apply the first configuration", "error", err)
			d.Kill()
			return exitFailed
		}
		go greetWhenServing(d, stdout, logger)
	}
	<-signals
	go d.Stop()
	select {
	case <-d.Done():
		return exitOK
	case <-signals:
		logger.Warn("stopped at once by a second signal")
		return exitFailed
	}
}

func applyInitialConfiguration(d *daemon.Daemon, file string) error {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	err := d.ApplyConfigurationFile(ctx, file)
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("the embedded log did not answer within %v: %w", applyTimeout, err)
	}
	return err
}

// greetWhenServing prints addresses and an example request as soon as a replica can serve it.
func greetWhenServing(d *daemon.Daemon, stdout io.Writer, logger hclog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), replicaTimeout)
	defer cancel()
	if err := d.AwaitReplica(ctx); err != nil {
		logger.Warn("no replica serves yet", "error", err)
		return
	}
	callers, operators := d.Addresses()
	printGreeting(stdout, callers, operators)
}

func printGreeting(w io.Writer, callers, operators string) {
	fmt.Fprintf(w, `Serving callers on %[1]s and operators on %[2]s. Try:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer demo-key' \
    -H 'Content-Type: application/json' \
    -d '{"model":"demo","stream":true,"messages":[{"role":"user","content":"Explain my bill"}]}'

The dashboard is at http://%[2]s/. Stop with Ctrl-C.
`, callers, operators)
}
