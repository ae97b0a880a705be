package config

import (
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// Model is a model as described by its document.
type Model struct {
	name   string
	labels map[string]string
	spec   ModelSpec
}

// Name returns the name of the model.
func (m Model) Name() string { return m.name }

// Version returns the version of the weights.
func (m Model) Version() string { return m.spec.Version }

// Adapter is an adapter as described by its document, with parsed selectors.
type Adapter struct {
	name   string
	labels map[string]string
	models labels.Selector
}

// Deployment is a deployment as described by its document, with parsed selectors.
type Deployment struct {
	name     string
	labels   map[string]string
	spec     DeploymentSpec
	models   labels.Selector
	nodes    labels.Selector
	adapters labels.Selector
	accounts labels.Selector
}

// Name returns the name of the deployment, which callers request as the model.
func (d Deployment) Name() string { return d.name }

// Spec returns the spec as published.
func (d Deployment) Spec() DeploymentSpec { return d.spec }

// AllowedRegions returns the regions in which the deployment's requests may run.
func (d Deployment) AllowedRegions() Regions { return d.spec.AllowedRegions }

// Draining reports whether LabelDrain requests that the deployment be drained.
func (d Deployment) Draining() bool { return d.labels[LabelDrain] == LabelTrue }

// Allows reports whether the client account may use the deployment.
func (d Deployment) Allows(a *Account) bool { return d.accounts.Matches(labels.Set(a.labels)) }

// SelectsNode reports whether a node with the given labels can be part of a replica.
func (d Deployment) SelectsNode(node map[string]string) bool {
	return d.nodes.Matches(labels.Set(node))
}

// Account is a client account as described by its document.
type Account struct {
	name   string
	labels map[string]string
	spec   AccountSpec
}

// Name returns the name of the client account.
func (a *Account) Name() string { return a.name }

// RequestsPerSecond returns the rate limit over all daemons, zero for no limit.
func (a *Account) RequestsPerSecond() float64 { return a.spec.RequestsPerSecond }

// Priority returns the priority of the account's requests.
func (a *Account) Priority() int { return a.spec.Priority }

// AllowedRegions returns the regions in which the account's requests may run.
func (a *Account) AllowedRegions() Regions { return a.spec.AllowedRegions }

// Service is a service as described by its document, with parsed selectors.
type Service struct {
	name     string
	spec     ServiceSpec
	nodes    labels.Selector
	accounts labels.Selector
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// AllowedRegions returns the regions in which calls of the service may run.
func (s Service) AllowedRegions() Regions { return s.spec.AllowedRegions }

// Allows reports whether the client account may use the service.
func (s Service) Allows(a *Account) bool { return s.accounts.Matches(labels.Set(a.labels)) }

// SelectsNode reports whether a node with the given labels runs the service.
func (s Service) SelectsNode(node map[string]string) bool { return s.nodes.Matches(labels.Set(node)) }

// Repeatable reports whether a call may run more than once.
func (s Service) Repeatable(method, path string) bool {
	for _, call := range s.spec.NotRepeatable {
		m, prefix, _ := strings.Cut(call, " ")
		if m == method && strings.HasPrefix(path, prefix) {
			return false
		}
	}
	return true
}

// The functions below expect documents that Validate has accepted, so they ignore decoding errors.

func newModel(d Document) Model {
	spec, _ := decodeSpec[ModelSpec](d)
	return Model{name: d.Name, labels: d.Labels, spec: spec}
}

func newAdapter(d Document) Adapter {
	spec, _ := decodeSpec[AdapterSpec](d)
	return Adapter{name: d.Name, labels: d.Labels, models: compileSelector(spec.ModelSelector)}
}

func newDeployment(d Document) Deployment {
	spec, _ := decodeSpec[DeploymentSpec](d)
	return Deployment{
		name: d.Name, labels: d.Labels, spec: spec,
		models:   compileSelector(spec.ModelSelector),
		nodes:    compileSelector(spec.NodeSelector),
		adapters: compileSelector(spec.AdapterSelector),
		accounts: compileSelector(spec.AccountSelector),
	}
}

func newAccount(d Document) *Account {
	spec, _ := decodeSpec[AccountSpec](d)
	return &Account{name: d.Name, labels: d.Labels, spec: spec}
}

func newService(d Document) Service {
	spec, _ := decodeSpec[ServiceSpec](d)
	return Service{
		name: d.Name, spec: spec,
		nodes:    compileSelector(spec.NodeSelector),
		accounts: compileSelector(spec.AccountSelector),
	}
}

// compileSelector parses a selector that Validate has accepted. An invalid selector selects
// nothing.
func compileSelector(text string) labels.Selector {
	s, err := parseSelector(text)
	if err != nil {
		return labels.Nothing()
	}
	return s
}
