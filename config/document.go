// Package config folds the configuration stream: documents with labels and
// selectors that operators publish. The fold is deterministic, so every daemon
// reaches the same verdict on every change.
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

// Kinds returns every kind.
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

// Document is one object of the configuration. It is a message, hence its
// exported fields.
type Document struct {
	Kind   Kind              `json:"kind" yaml:"kind"`
	Name   string            `json:"name" yaml:"name"`
	Labels map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
	// Spec is JSON of the spec type of the kind.
	Spec json.RawMessage `json:"spec,omitempty" yaml:"-"`
}

// Key names an object.
type Key struct {
	Kind Kind
	Name string
}

// String returns KIND/NAME.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Key returns the name of the object.
func (d Document) Key() Key {
	return Key{Kind: d.Kind, Name: d.Name}
}

// ModelSpec describes a model.
type ModelSpec struct {
	// Version names the weights.
	Version string `json:"version" yaml:"version"`
	// WeightsGB is the size of the weights over all nodes, in gigabytes.
	WeightsGB float64 `json:"weightsGB,omitempty" yaml:"weightsGB,omitempty"`
}

// AdapterSpec describes an adapter of a model.
type AdapterSpec struct {
	// ModelSelector picks the models that the adapter fits.
	ModelSelector string `json:"modelSelector" yaml:"modelSelector"`
}

// ObjectiveSpec prices the two measures against each other.
type ObjectiveSpec struct {
	// Downtime is the price of a second in which a wanted replica does not serve.
	Downtime float64 `json:"downtime,omitempty" yaml:"downtime,omitempty"`
	// Stranded is the price of a second of one accelerator without a replica.
	Stranded float64 `json:"stranded,omitempty" yaml:"stranded,omitempty"`
}

// DeploymentSpec describes the replicas of a model.
type DeploymentSpec struct {
	ModelSelector   string `json:"modelSelector" yaml:"modelSelector"`
	NodeSelector    string `json:"nodeSelector,omitempty" yaml:"nodeSelector,omitempty"`
	AdapterSelector string `json:"adapterSelector,omitempty" yaml:"adapterSelector,omitempty"`
	AccountSelector string `json:"accountSelector,omitempty" yaml:"accountSelector,omitempty"`
	// NodesPerReplica is how many nodes form a replica.
	NodesPerReplica int `json:"nodesPerReplica" yaml:"nodesPerReplica"`
	// Replicas is how many replicas are wanted; zero asks for as many as the
	// selected nodes can hold.
	Replicas int `json:"replicas,omitempty" yaml:"replicas,omitempty"`
	// Priority decides who gives up nodes to whom; higher is kept longer.
	Priority  int           `json:"priority,omitempty" yaml:"priority,omitempty"`
	Objective ObjectiveSpec `json:"objective,omitempty" yaml:"objective,omitempty"`
	// AllowedRegions are the regions in which its requests may run; all without it.
	AllowedRegions Regions `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
}

// AccountSpec describes a client account.
type AccountSpec struct {
	// KeyHashes are the lower-case hexadecimal SHA-256 hashes of its bearer keys.
	KeyHashes []string `json:"keyHashes" yaml:"keyHashes"`
	// RequestsPerSecond is the limit over all daemons; zero is none.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	// Priority of its requests; lower is refused first under overload.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// AllowedRegions are the regions in which its requests may run; all without it.
	AllowedRegions Regions `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
}

// ServiceSpec describes a plain service.
type ServiceSpec struct {
	NodeSelector    string `json:"nodeSelector" yaml:"nodeSelector"`
	AccountSelector string `json:"accountSelector,omitempty" yaml:"accountSelector,omitempty"`
	// NotRepeatable lists calls that run at most once, as "METHOD /path/prefix".
	NotRepeatable []string `json:"notRepeatable,omitempty" yaml:"notRepeatable,omitempty"`
	// AllowedRegions are the regions in which its calls may run; all without it.
	AllowedRegions Regions `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
}

// NodeSpec is empty: a node is described by its labels alone.
type NodeSpec struct{}

// Labels that have a meaning of their own.
const (
	// LabelDrain set to "true" on a node or a deployment moves work away from it.
	LabelDrain = "quartzshelf/drain"
	// LabelManagedBy set to ManagedByScripts on a node keeps our orders from it.
	LabelManagedBy = "quartzshelf/managed-by"
	// LabelDeployment names, on a node managed by scripts, the deployment it serves.
	LabelDeployment = "quartzshelf/deployment"
	// LabelReplica names, on a node managed by scripts, its replica.
	LabelReplica = "quartzshelf/replica"
	// LabelFenced set to "false" on a node says that it does not check tokens.
	LabelFenced = "quartzshelf/fenced"
	// LabelDomain, LabelDataHall and LabelKind are set from the node list.
	LabelDomain   = "quartzshelf/domain"
	LabelDataHall = "quartzshelf/data-hall"
	LabelKind     = "quartzshelf/kind"
)

// ManagedByScripts is the value of LabelManagedBy for nodes run by scripts.
const ManagedByScripts = "scripts"

// LabelTrue and LabelFalse are the values of labels that switch something.
const (
	LabelTrue  = "true"
	LabelFalse = "false"
)

// Limits on the number of nodes of a replica.
const (
	MinReplicaNodes = 4
	MaxReplicaNodes = 32
)

// decodeSpec decodes the spec of d into a pointer to its spec type.
func decodeSpec[S any](d Document) (S, error) {
	var spec S
	if len(d.Spec) == 0 {
		return spec, nil
	}
	err := json.Unmarshal(d.Spec, &spec)
	return spec, err
}

// selector compiles text in the selector syntax of Kubernetes. Empty text
// selects everything.
func selector(text string) (labels.Selector, error) {
	return labels.Parse(text)
}
