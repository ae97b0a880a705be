// Package config holds the configuration, which consists of documents with labels and selectors.
// Operators publish changes of the documents to a log stream. Every daemon applies the same records
// in the same order, and so accepts and rejects the same changes.
package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"k8s.io/apimachinery/pkg/labels"
)

// Kind is the kind of a document.
type Kind string

// The kinds of documents.
const (
	KindModel      Kind = "Model"
	KindAdapter    Kind = "Adapter"
	KindDeployment Kind = "Deployment"
	KindAccount    Kind = "ClientAccount"
	KindService    Kind = "Service"
	KindNode       Kind = "Node"
	KindDataHall   Kind = "DataHall"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{KindModel, KindAdapter, KindDeployment, KindAccount, KindService, KindNode, KindDataHall}
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, error) {
	kind := Kind(name)
	if !slices.Contains(Kinds(), kind) {
		return "", fmt.Errorf("unknown kind %q, want one of %v", name, Kinds())
	}
	return kind, nil
}

// Document is one object of the configuration, as published.
type Document struct {
	Kind   Kind              `json:"kind" yaml:"kind"`
	Name   string            `json:"name" yaml:"name"`
	Labels map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
	// Spec is the JSON encoding of the spec type for Kind.
	Spec json.RawMessage `json:"spec,omitempty" yaml:"-"`
}

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// String returns KIND/NAME.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Key returns the key of the object.
func (d Document) Key() Key {
	return Key{Kind: d.Kind, Name: d.Name}
}

// ModelSpec is the spec of a Model document.
type ModelSpec struct {
	// Version names the version of the weights.
	Version string `json:"version" yaml:"version"`
	// WeightsGB is the total size of the weights on all nodes of a replica, in gigabytes.
	WeightsGB float64 `json:"weightsGB,omitempty" yaml:"weightsGB,omitempty"`
}

// AdapterSpec is the spec of an Adapter document.
type AdapterSpec struct {
	// ModelSelector selects the models that the adapter can be used with.
	ModelSelector string `json:"modelSelector" yaml:"modelSelector"`
}

// ObjectiveSpec weighs the costs of downtime and of unused accelerators against each other.
type ObjectiveSpec struct {
	// Downtime is the cost per second of a requested replica that does not serve.
	Downtime float64 `json:"downtime,omitempty" yaml:"downtime,omitempty"`
	// Stranded is the cost per second of an accelerator that belongs to no replica.
	Stranded float64 `json:"stranded,omitempty" yaml:"stranded,omitempty"`
}

// DeploymentSpec is the spec of a Deployment document.
type DeploymentSpec struct {
	ModelSelector   string `json:"modelSelector" yaml:"modelSelector"`
	NodeSelector    string `json:"nodeSelector,omitempty" yaml:"nodeSelector,omitempty"`
	AdapterSelector string `json:"adapterSelector,omitempty" yaml:"adapterSelector,omitempty"`
	AccountSelector string `json:"accountSelector,omitempty" yaml:"accountSelector,omitempty"`
	// NodesPerReplica is the number of nodes in a replica.
	NodesPerReplica int `json:"nodesPerReplica" yaml:"nodesPerReplica"`
	// Replicas is the number of replicas to run; zero means as many as the selected nodes allow.
	Replicas int `json:"replicas,omitempty" yaml:"replicas,omitempty"`
	// Priority determines which deployments lose nodes to others. Those with a lower priority lose
	// them first.
	Priority  int           `json:"priority,omitempty" yaml:"priority,omitempty"`
	Objective ObjectiveSpec `json:"objective,omitempty" yaml:"objective,omitempty"`
	// AllowedRegions are the regions in which the deployment's requests may run; empty means all.
	AllowedRegions Regions `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
}

// AccountSpec is the spec of a ClientAccount document.
type AccountSpec struct {
	// KeyHashes are the SHA-256 hashes of the account's bearer keys, in lower-case hexadecimal.
	KeyHashes []string `json:"keyHashes" yaml:"keyHashes"`
	// RequestsPerSecond is the rate limit over all daemons; zero means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	// Priority is the priority of the account's requests. Under overload, requests with a lower
	// priority are refused first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// AllowedRegions are the regions in which the account's requests may run; empty means all.
	AllowedRegions Regions `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
}

// ServiceSpec is the spec of a Service document, for a plain service.
type ServiceSpec struct {
	NodeSelector    string `json:"nodeSelector" yaml:"nodeSelector"`
	AccountSelector string `json:"accountSelector,omitempty" yaml:"accountSelector,omitempty"`
	// NotRepeatable lists the calls that must run at most once, as "METHOD /path/prefix".
	NotRepeatable []string `json:"notRepeatable,omitempty" yaml:"notRepeatable,omitempty"`
	// AllowedRegions are the regions in which the service's calls may run; empty means all.
	AllowedRegions Regions `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
}

// NodeSpec is the spec of a Node document. It is empty, since nodes are described by labels only.
type NodeSpec struct{}

// Labels with a predefined meaning.
const (
	// LabelDrain set to "true" on a node or a deployment requests that it be drained.
	LabelDrain = "quartzshelf/drain"
	// LabelManagedBy set to ManagedByScripts on a node means that scripts manage it, so that daemons
	// send it no orders.
	LabelManagedBy = "quartzshelf/managed-by"
	// LabelDeployment names the deployment that a node managed by scripts serves.
	LabelDeployment = "quartzshelf/deployment"
	// LabelReplica names the replica of a node managed by scripts.
	LabelReplica = "quartzshelf/replica"
	// LabelFenced set to "false" on a node means that it does not check the tokens of orders.
	LabelFenced = "quartzshelf/fenced"
	// LabelDomain, LabelDataHall and LabelKind are the node's fabric domain, data hall and kind, as
	// given by the node list.
	LabelDomain   = "quartzshelf/domain"
	LabelDataHall = "quartzshelf/data-hall"
	LabelKind     = "quartzshelf/kind"
)

// ManagedByScripts is the value of LabelManagedBy for nodes managed by scripts.
const ManagedByScripts = "scripts"

// Values of boolean labels.
const (
	LabelTrue  = "true"
	LabelFalse = "false"
)

// Limits on the number of nodes of a replica.
const (
	MinReplicaNodes = 4
	MaxReplicaNodes = 32
)

// decodeSpec decodes the spec of d as type S. It returns the zero value if d has no spec.
func decodeSpec[S any](d Document) (S, error) {
	var spec S
	if len(d.Spec) == 0 {
		return spec, nil
	}
	err := json.Unmarshal(d.Spec, &spec)
	return spec, err
}

// parseSelector parses a label selector in the syntax of Kubernetes. An empty text selects
// everything.
func parseSelector(text string) (labels.Selector, error) {
	return labels.Parse(text)
}
