// Package daemon builds a quartzshelf daemon from its components and runs it.
package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"quartzshelf.dev/standin"
)

// Defaults and bounds of the settings.
const (
	defaultLogRetention          = time.Hour
	defaultServeWindow           = 6 * time.Second
	defaultEntriesTTL            = 10 * time.Second
	defaultMaxBodyBytes          = 8 << 20
	defaultConcurrentWeightLoads = 2
	minLogRetention              = 5 * time.Minute
	minServeWindow               = 2 * time.Second
	maxServeWindow               = time.Minute
	maxEntriesTTL                = 10 * time.Minute
	minMaxBodyBytes              = 1 << 10
	maxMaxBodyBytes              = 64 << 20
	maxWeightLoads               = 1000
)

// Settings are the settings of a daemon, as written in YAML.
type Settings struct {
	// Name is the daemon's name, unique in the fleet.
	Name     string `yaml:"name"`
	DataHall string `yaml:"data_hall"`
	Region   string `yaml:"region"`
	// Callers, Operators and Peers are the IP:port pairs to listen on.
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
	// Seeds are peer addresses of other daemons, which this one contacts when it starts.
	Seeds    []string         `yaml:"seeds"`
	Platform PlatformSettings `yaml:"platform"`
	// ServeWindow is how long a replica may serve after its last successful probe.
	ServeWindow time.Duration `yaml:"serve_window"`
	// EntriesTTL is how long callers may cache an answer of /v1/entries.
	EntriesTTL time.Duration `yaml:"keep_entries"`
	// MaxBodyBytes is the largest allowed body of a request.
	MaxBodyBytes int `yaml:"max_body_bytes"`
	// ConcurrentWeightLoads is how many replicas of a domain may load weights at once.
	ConcurrentWeightLoads int         `yaml:"weight_loads"`
	Log                   LogSettings `yaml:"log"`

	// file is where the settings were read from.
	file string
}

// PlatformSettings are the addresses of the platform's services, or the settings of an
// embedded platform.
type PlatformSettings struct {
	// Log and Nodes are the IP:port pairs of the log service and the node list.
	Log   string `yaml:"log"`
	Nodes string `yaml:"nodes"`
	// LogRetention is how long the log service keeps a record.
	LogRetention time.Duration     `yaml:"log_retention"`
	Embedded     *EmbeddedSettings `yaml:"embedded"`
}

// EmbeddedSettings describe a simulated platform that runs inside the daemon, to try
// the daemon out on one machine.
type EmbeddedSettings struct {
	Domains []standin.DomainOptions `yaml:"domains"`
	// StoreGBPerSecond is the rate of the weight store.
	StoreGBPerSecond float64 `yaml:"store_gb_per_second"`
	// LoadGB is how much one node loads for one model version.
	LoadGB float64 `yaml:"load_gb"`
	// Step is the time between two tokens of an answer.
	Step time.Duration `yaml:"step"`
	// Slots is how many requests a node processes at once.
	Slots int `yaml:"slots"`
	// ListLag is the age of what the node list shows.
	ListLag time.Duration `yaml:"list_lag"`
	// Configuration is a file of documents to publish after the start. Its path is
	// relative to the directory of the settings file.
	Configuration string `yaml:"configuration"`
}

// LogSettings are the level and the format of the daemon's own log.
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is text or json.
	Format string `yaml:"format"`
}

// ReadSettings reads and checks the settings in a file.
func ReadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(file, data)
}

// ParseSettings parses and checks settings; file is the name that errors show. The
// error joins all problems that the check found.
func ParseSettings(file string, data []byte) (*Settings, error) {
	s := &Settings{
		ServeWindow:           defaultServeWindow,
		EntriesTTL:            defaultEntriesTTL,
		MaxBodyBytes:          defaultMaxBodyBytes,
		ConcurrentWeightLoads: defaultConcurrentWeightLoads,
		Platform:              PlatformSettings{LogRetention: defaultLogRetention},
		Log:                   LogSettings{Level: "info", Format: "text"},
		file:                  file,
	}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %s", file, yaml.FormatError(err, false, false))
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// ConfigurationFile returns the path of the documents to publish after the start, or an
// empty string if there are none.
func (s *Settings) ConfigurationFile() string {
	if s.Platform.Embedded == nil || s.Platform.Embedded.Configuration == "" {
		return ""
	}
	return filepath.Join(filepath.Dir(s.file), s.Platform.Embedded.Configuration)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// settingsChecker collects problems with the settings of a file.
type settingsChecker struct {
	file     string
	problems []error
}

func (c *settingsChecker) addProblem(field, format string, args ...any) {
	c.problems = append(c.problems, fmt.Errorf("%s: field %s: %s", c.file, field, fmt.Sprintf(format, args...)))
}

func (c *settingsChecker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.addProblem(field, "%q must be lower-case letters, digits, dots and dashes", value)
	}
}

func (c *settingsChecker) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(field, "%q must be an IP number and a port, as in 127.0.0.1:7400", value)
	}
}

func (c *settingsChecker) checkDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.addProblem(field, "%v is outside %v to %v", value, low, high)
	}
}

func (c *settingsChecker) checkNumber(field string, value, low, high int) {
	if value < low || value > high {
		c.addProblem(field, "%d is outside %d to %d", value, low, high)
	}
}

func (c *settingsChecker) checkOneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addProblem(field, "%q must be one of %v", value, allowed)
	}
}

func (s *Settings) check() error {
	c := &settingsChecker{file: s.file}
	c.checkName("name", s.Name)
	c.checkName("data_hall", s.DataHall)
	c.checkName("region", s.Region)
	c.checkAddress("callers", s.Callers)
	c.checkAddress("operators", s.Operators)
	c.checkAddress("peers", s.Peers)
	for i, seed := range s.Seeds {
		c.checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.checkDuration("serve_window", s.ServeWindow, minServeWindow, maxServeWindow)
	c.checkDuration("keep_entries", s.EntriesTTL, time.Second, maxEntriesTTL)
	c.checkNumber("max_body_bytes", s.MaxBodyBytes, minMaxBodyBytes, maxMaxBodyBytes)
	c.checkNumber("weight_loads", s.ConcurrentWeightLoads, 1, maxWeightLoads)
	c.checkOneOf("log.level", s.Log.Level, "trace", "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, "text", "json")
	s.Platform.check(c)
	return errors.Join(c.problems...)
}

func (p *PlatformSettings) check(c *settingsChecker) {
	if p.LogRetention < minLogRetention {
		c.addProblem("platform.log_retention", "%v is below %v", p.LogRetention, minLogRetention)
	}
	if p.Embedded == nil {
		c.checkAddress("platform.log", p.Log)
		c.checkAddress("platform.nodes", p.Nodes)
		return
	}
	if p.Log != "" || p.Nodes != "" {
		c.addProblem("platform.embedded", "cannot be given together with platform.log or platform.nodes")
	}
	if len(p.Embedded.Domains) == 0 {
		c.addProblem("platform.embedded.domains", "must name at least one fabric domain")
	}
	if p.Embedded.StoreGBPerSecond <= 0 {
		c.addProblem("platform.embedded.store_gb_per_second", "must be above zero")
	}
	c.checkNumber("platform.embedded.slots", p.Embedded.Slots, 1, maxWeightLoads)
}
