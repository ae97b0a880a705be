package config

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// Limits on the values of fields.
const (
	maxName      = 63
	maxReplicas  = 10_000
	hashHexChars = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// FieldError describes an invalid field of a document.
type FieldError struct {
	object  Key
	field   string
	problem string
}

var _ error = (*FieldError)(nil)

// Object returns the key of the object.
func (e *FieldError) Object() Key { return e.object }

// Field returns the path of the field, such as spec.replicas.
func (e *FieldError) Field() string { return e.field }

// Problem returns why the field is invalid.
func (e *FieldError) Problem() string { return e.problem }

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", e.object, e.field, e.problem)
}

// checker records the first problem found in a document.
type checker struct {
	object Key
	err    *FieldError
}

func (c *checker) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = &FieldError{object: c.object, field: field, problem: fmt.Sprintf(format, args...)}
	}
}

func (c *checker) selector(field, text string) {
	if _, err := parseSelector(text); err != nil {
		c.fail(field, "bad selector: %v", err)
	}
}

func (c *checker) required(field, text string) {
	if text == "" {
		c.fail(field, "must not be empty")
	}
}

func (c *checker) inRange(field string, value, low, high int) {
	if value < low || value > high {
		c.fail(field, "%d is outside %d to %d", value, low, high)
	}
}

func (c *checker) notNegative(field string, value float64) {
	if value < 0 {
		c.fail(field, "%g is negative", value)
	}
}

// Validate checks a document independently of others. The error is a *FieldError.
func Validate(d Document) error {
	c := &checker{object: d.Key()}
	if _, err := ParseKind(string(d.Kind)); err != nil {
		c.fail("kind", "%v", err)
		return c.err
	}
	if len(d.Name) > maxName || !namePattern.MatchString(d.Name) {
		c.fail("name", "%q must be at most %d lower-case letters, digits, dots and dashes", d.Name, maxName)
	}
	c.labels(d.Labels)
	c.spec(d)
	if c.err != nil {
		return c.err
	}
	return nil
}

func (c *checker) labels(all map[string]string) {
	for name, value := range all {
		for _, text := range []string{name, value} {
			if strings.ContainsAny(text, " ,=!()\t\n") {
				c.fail("labels", "%q has a character that selectors cannot name", text)
			}
		}
		if name == "" {
			c.fail("labels", "a label has no name")
		}
	}
}

func (c *checker) spec(d Document) {
	switch d.Kind {
	case KindModel:
		checkSpec(c, d, c.model)
	case KindAdapter:
		checkSpec(c, d, func(s AdapterSpec) { c.selector("spec.modelSelector", s.ModelSelector) })
	case KindDeployment:
		checkSpec(c, d, c.deployment)
	case KindAccount:
		checkSpec(c, d, c.account)
	case KindService:
		checkSpec(c, d, c.service)
	case KindNode:
		checkSpec(c, d, func(NodeSpec) {})
	case KindDataHall:
		checkSpec(c, d, c.dataHall)
	}
}

// checkSpec decodes the spec of d strictly and calls examine with it.
func checkSpec[S any](c *checker, d Document, validate func(S)) {
	var spec S
	if len(d.Spec) > 0 {
		decoder := json.NewDecoder(strings.NewReader(string(d.Spec)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&spec); err != nil {
			c.fail("spec", "%v", err)
			return
		}
	}
	validate(spec)
}

func (c *checker) model(s ModelSpec) {
	c.required("spec.version", s.Version)
	c.notNegative("spec.weightsGB", s.WeightsGB)
}

func (c *checker) deployment(s DeploymentSpec) {
	c.required("spec.modelSelector", s.ModelSelector)
	c.selector("spec.modelSelector", s.ModelSelector)
	c.selector("spec.nodeSelector", s.NodeSelector)
	c.selector("spec.adapterSelector", s.AdapterSelector)
	c.selector("spec.accountSelector", s.AccountSelector)
	c.inRange("spec.nodesPerReplica", s.NodesPerReplica, MinReplicaNodes, MaxReplicaNodes)
	c.inRange("spec.replicas", s.Replicas, 0, maxReplicas)
	c.notNegative("spec.objective.downtime", s.Objective.Downtime)
	c.notNegative("spec.objective.stranded", s.Objective.Stranded)
	c.regions(s.AllowedRegions)
}

func (c *checker) account(s AccountSpec) {
	if len(s.KeyHashes) == 0 {
		c.fail("spec.keyHashes", "must name at least one key")
	}
	for i, hash := range s.KeyHashes {
		if !hashPattern.MatchString(hash) {
			c.fail(fmt.Sprintf("spec.keyHashes[%d]", i),
				"must be a SHA-256 hash of %d lower-case hexadecimal digits", hashHexChars)
		}
	}
	c.notNegative("spec.requestsPerSecond", s.RequestsPerSecond)
	c.regions(s.AllowedRegions)
}

func (c *checker) service(s ServiceSpec) {
	c.required("spec.nodeSelector", s.NodeSelector)
	c.selector("spec.nodeSelector", s.NodeSelector)
	c.selector("spec.accountSelector", s.AccountSelector)
	c.regions(s.AllowedRegions)
	for i, call := range s.NotRepeatable {
		method, path, ok := strings.Cut(call, " ")
		if !ok || method == "" || !strings.HasPrefix(path, "/") {
			c.fail(fmt.Sprintf("spec.notRepeatable[%d]", i), "%q must be METHOD /path", call)
		}
	}
}
