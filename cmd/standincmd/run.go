// Package standincmd implements the command that serves a simulated log and simulated nodes, so
// that daemons can be tried without a platform.
package standincmd

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"quartzshelf.dev/cmd/common"
	"quartzshelf.dev/standin"
	"quartzshelf.dev/standin/server"
)

// Exit codes of the command.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	Settings string `help:"YAML file of settings." required:"" type:"existingfile" short:"s"`
}

// settings are the settings of the simulation, read from YAML.
type settings struct {
	Host             string                  `yaml:"host"`
	Port             int                     `yaml:"port"`
	AppendsPerSecond float64                 `yaml:"appends_per_second"`
	Retention        time.Duration           `yaml:"retention"`
	Domains          []standin.DomainOptions `yaml:"domains"`
	StoreGBPerSecond float64                 `yaml:"store_gb_per_second"`
	LoadGB           float64                 `yaml:"load_gb"`
	Step             time.Duration           `yaml:"step"`
	Slots            int                     `yaml:"slots"`
	ListLag          time.Duration           `yaml:"list_lag"`
	LoadLag          time.Duration           `yaml:"load_lag"`
}

// Run serves the simulation until SIGINT or SIGTERM and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var flags commandLine
	if !common.Parse("quartzshelf-standin", "Stands in for the log service, the node list and the nodes.", &flags, args, stdout, stderr) {
		return exitSettings
	}
	data, err := os.ReadFile(flags.Settings)
	if err != nil {
		fmt.Fprintln(stderr, "quartzshelf-standin:", err)
		return exitSettings
	}
	var s settings
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		fmt.Fprintf(stderr, "quartzshelf-standin: %s: %s\n", flags.Settings, yaml.FormatError(err, false, false))
		return exitSettings
	}
	return serve(s, stdout, stderr)
}

func serve(s settings, stdout, stderr io.Writer) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	platform, err := server.New(server.Options{
		Host: s.Host, PlatformPort: s.Port,
		Log: standin.LogOptions{AppendsPerSecond: s.AppendsPerSecond, Retention: s.Retention},
		Cluster: standin.ClusterOptions{
			Domains: s.Domains, StoreGBPerSecond: s.StoreGBPerSecond, WeightsPerNodeGB: s.LoadGB,
			TokenInterval: s.Step, Slots: s.Slots, MaxListAge: s.ListLag, MaxLoadAge: s.LoadLag,
		},
	})
	if err != nil {
		fmt.Fprintln(stderr, "quartzshelf-standin:", err)
		return exitFailed
	}
	fmt.Fprintln(stdout, "serving log and node list on", platform.Address())
	<-signals
	platform.Stop()
	return exitOK
}
