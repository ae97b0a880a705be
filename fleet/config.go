// Package fleet holds what a daemon knows of the fleet: the configuration in force, the workers,
// and the replicas that workers form. Its types are values that are shared between readers and
// never modified.
package fleet

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// RouteKind is the kind of a route. It determines how requests are answered and whether they may
// run more than once.
type RouteKind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events.
	Stream
)

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the maximum time to complete a request.
	Timeout time.Duration
	// Objective is the target time to the answer, or to its first event for streams.
	Objective time.Duration
	// GapTarget is the target for the longest pause between two events of a stream.
	GapTarget time.Duration
	// MaxAttempts is the maximum number of workers that a request is sent to.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue at another worker.
	Resumable bool
	// Regions are the regions in which the route's requests may run.
	Regions Regions
	Targets []Target
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Choose picks a target by weight and returns its service; draw must be uniform in [0, 1).
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := int(draw * float64(total))
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= max(t.Weight, 0)
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model is a model of which a service's workers can form replicas.
type Model struct {
	Name string
	// Size is the number of workers of one replica.
	Size int
	// InitialShare is the assumed fraction of the service's load that the model gets, used until
	// the load has been measured.
	InitialShare float64
	// TimeFactor is the factor by which the engine's processing times are multiplied for this
	// model; 0 counts as 1.
	TimeFactor float64
	// Load is how long it takes to load the weights from the store, WarmLoad from the worker's
	// host.
	Load, WarmLoad time.Duration
}

// Engine describes the model workers of a service.
type Engine struct {
	// Slots is the number of requests that a replica processes concurrently.
	Slots int
	// Capacity is the number of tokens that fit in a replica's KV cache.
	Capacity int
	// PrefillPerSecond is the number of prompt tokens processed per second.
	PrefillPerSecond float64
	// Step is the base duration of a decoding step. StepPerRequest is added for each request in the
	// batch.
	Step, StepPerRequest time.Duration
	// Stride is the number of decoding steps in a pass.
	Stride int
	// MeanAnswerTokens is the mean number of tokens of an answer.
	MeanAnswerTokens int
	// LoadsPerSecond is how many loads of weights may start per second. MaxConcurrentLoads is how
	// many can run concurrently without slowing each other down.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// OpenDuration is how long it takes to open a replica.
	OpenDuration time.Duration
	Models       []Model
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

// timeFactor returns the factor by which the processing times are multiplied for a model.
func (e *Engine) timeFactor(model string) float64 {
	if m, ok := e.Model(model); ok && m.TimeFactor > 0 {
		return m.TimeFactor
	}
	return 1
}

// TimePerPromptToken returns how long a replica of a model takes to process one prompt token, or
// zero if that is unknown.
func (e *Engine) TimePerPromptToken(model string) time.Duration {
	if e.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(e.timeFactor(model) * float64(time.Second) / e.PrefillPerSecond)
}

// PassTimes returns the base duration of a pass of a model's replica, and the time that each
// request in the batch adds.
func (e *Engine) PassTimes(model string) (base, perRequest time.Duration) {
	factor := e.timeFactor(model) * float64(max(e.Stride, 1))
	return time.Duration(factor * float64(e.Step)), time.Duration(factor * float64(e.StepPerRequest))
}

// Service is a set of workers that requests are sent to.
type Service struct {
	Name string
	// MaxConns is the number of connections that one worker accepts from all callers together.
	MaxConns int
	// WarmUp limits the requests to workers that have just started.
	WarmUp WarmUp
	// Engine is nil for services whose workers do not form groups.
	Engine *Engine
}

// WarmUp limits the request rate of a cold worker, which would fail under a higher rate. A worker
// is cold for some time after its start.
type WarmUp struct {
	// PerSecond is the maximum request rate of a cold worker; zero means no limit.
	PerSecond float64
	// For is how long a worker stays cold after its start.
	For time.Duration
}

// Tenant is the owner of a set of keys.
type Tenant struct {
	Name string
	// Regions are the regions in which the tenant's requests may run.
	Regions Regions
	// Priority replaces the route's priority if HasPriority is set.
	Priority int
	// HasPriority is set if the tenant has a priority.
	HasPriority bool
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time to receive the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	version  int64
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Tenant
	limits   Limits
	encoded  []byte
}

// Parts holds the arguments of NewConfig.
type Parts struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	// Keys holds the owner of each key; nil means that no keys are required.
	Keys   map[string]*Tenant
	Limits Limits
	// Encoded is the configuration as it was published.
	Encoded []byte
}

// NewConfig returns a configuration made of the given parts.
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

// Version returns the version, which increases with each change.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits on requests and connections of callers.
func (c *Config) Limits() Limits { return c.limits }

// Encoded returns the configuration as it was published.
func (c *Config) Encoded() []byte { return c.encoded }

// Route returns the route of the host with the longest prefix that matches path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost strips the port from a host and converts it to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// RegionsOf returns the regions that all routes of a host allow. The result is empty if no route
// restricts the regions, but also if the routes have no region in common.
func (c *Config) RegionsOf(host string) Regions {
	var common Regions
	restricted := false
	for _, r := range c.routes[normalizeHost(host)] {
		switch {
		case len(r.Regions) == 0:
		case !restricted:
			common, restricted = slices.Clone(r.Regions), true
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

// Services returns all services in unspecified order.
func (c *Config) Services() []*Service {
	all := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	return all
}

// NeedsKeys reports whether requests must carry a key.
func (c *Config) NeedsKeys() bool { return c.keys != nil }

// Tenant returns the tenant that owns a key.
func (c *Config) Tenant(key string) (*Tenant, bool) {
	t, ok := c.keys[key]
	return t, ok
}
