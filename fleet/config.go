// Package fleet holds what a daemon believes of its surroundings: the
// configuration in force, the workers, and the replicas that workers form. Its
// types are values that readers share and never change.
package fleet

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind tells how often a request of a route may run.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says where the requests of a host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is due.
	Objective time.Duration
	// GapTarget is the longest pause between events that is still in time.
	GapTarget time.Duration
	// Attempts is how many workers one request may be sent to.
	Attempts int
	// Priority is the rank of the requests, 0 being the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another worker.
	Resumable bool
	// Regions are those in which the route's requests may run.
	Regions Regions
	Targets []Target
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Choose returns the service that takes a request; draw is uniform in [0, 1).
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	left := int(draw * float64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= max(t.Weight, 0)
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model is a model that a service's workers can form replicas of.
type Model struct {
	Name string
	// Size is the number of workers of one replica.
	Size int
	// Share is the model's part of the work before any was measured.
	Share float64
	// Pace is a factor on all times of the model's replicas.
	Pace float64
	// Load is how long its weights take from the store, Warm from the host.
	Load, Warm time.Duration
}

// Engine describes the model workers of a service.
type Engine struct {
	// Slots is the number of requests that a replica works on at once.
	Slots int
	// Capacity is the number of tokens that a replica's memory holds.
	Capacity int
	// PrefillPerSecond is the number of prompt tokens read in a second.
	PrefillPerSecond float64
	// Step is the time of a token step of one request, StepPerRequest what
	// each request in the batch adds.
	Step, StepPerRequest time.Duration
	// Stride is the number of steps in a pass.
	Stride int
	// UsualAnswer is the mean number of tokens of an answer.
	UsualAnswer int
	// LoadsPerSecond bounds the loads that may begin each second, LoadsAtOnce
	// those that run side by side without slowing each other.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Form is how long the opening of a replica takes.
	Form   time.Duration
	Models []Model
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// pace returns the factor of a model on all times of its replicas.
func (e *Engine) pace(model string) float64 {
	if m, ok := e.Model(model); ok && m.Pace > 0 {
		return m.Pace
	}
	return 1
}

// PerToken returns the time in which a replica of a model reads a prompt token; zero if
// it is not known.
func (e *Engine) PerToken(model string) time.Duration {
	if e.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(e.pace(model) * float64(time.Second) / e.PrefillPerSecond)
}

// Pass returns the time of a pass of a replica of a model without requests, and what
// each request in it adds.
func (e *Engine) Pass(model string) (alone, each time.Duration) {
	factor := e.pace(model) * float64(max(e.Stride, 1))
	return time.Duration(factor * float64(e.Step)), time.Duration(factor * float64(e.StepPerRequest))
}

// Service is a set of workers that requests are sent to.
type Service struct {
	Name string
	// MaxConns is the number of connections that one worker accepts from all callers.
	MaxConns int
	// WarmUp bounds what workers take that have just started.
	WarmUp WarmUp
	// Engine is nil for services whose workers serve alone.
	Engine *Engine
}

// WarmUp bounds the requests to a worker that is cold, as it is for some time after its
// start. A worker that gets many more than it bears fails.
type WarmUp struct {
	// PerSecond is how many requests a second a cold worker bears; zero for any number.
	PerSecond float64
	// For is how long workers stay cold after a start.
	For time.Duration
}

// Tenant owns keys.
type Tenant struct {
	Name string
	// Regions are those in which the tenant's requests may run.
	Regions Regions
	// Priority takes precedence over the route's when Ranked is set.
	Priority int
	Ranked   bool
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderWait  time.Duration
	IdleWait    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	version  int64
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Tenant
	limits   Limits
	encoded  []byte
}

// Parts is what a configuration is made of.
type Parts struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	// Keys holds the tenants by key; nil when no keys are asked for.
	Keys   map[string]*Tenant
	Limits Limits
	// Encoded is the form in which the configuration was published.
	Encoded []byte
}

// NewConfig returns a configuration made of parts.
func NewConfig(parts Parts) *Config {
	c := &Config{
		version: parts.Version, routes: make(map[string][]*Route), keys: parts.Keys,
		services: make(map[string]*Service), limits: parts.Limits, encoded: parts.Encoded,
	}
	for _, r := range parts.Routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, all := range c.routes {
		sort.SliceStable(all, func(i, j int) bool { return len(all[i].Prefix) > len(all[j].Prefix) })
	}
	for _, s := range parts.Services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the version, which grows with each change.
func (c *Config) Version() int64 { return c.version }

// Limits returns the bounds on what callers may send.
func (c *Config) Limits() Limits { return c.limits }

// Encoded returns the published form.
func (c *Config) Encoded() []byte { return c.encoded }

// Route returns the route with the longest prefix of path among those of host.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routes[hostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostOf returns a host as routes are held by it: without a port, in lower case.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// RegionsOf returns the regions in which all bound routes of a host may run; empty where
// none is bound, or where they have none in common.
func (c *Config) RegionsOf(host string) Regions {
	var common Regions
	bound := false
	for _, r := range c.routes[hostOf(host)] {
		switch {
		case len(r.Regions) == 0:
		case !bound:
			common, bound = slices.Clone(r.Regions), true
		default:
			common = slices.DeleteFunc(common, func(region string) bool { return !r.Regions.Allows(region) })
		}
	}
	return common
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, in no order.
func (c *Config) Services() []*Service {
	all := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	return all
}

// NeedsKeys reports whether requests carry keys.
func (c *Config) NeedsKeys() bool { return c.keys != nil }

// Tenant returns the tenant that holds a key.
func (c *Config) Tenant(key string) (*Tenant, bool) {
	t, ok := c.keys[key]
	return t, ok
}
