package config

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// Limits on the values of fields.
const (
	maxNameLength = 63
	maxReplicas   = 10_000
	hashHexChars  = 64
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

// addProblem records a problem unless one has been recorded before.
func (c *checker) addProblem(field, format string, args ...any) {
	if c.err == nil {
		c.err = &FieldError{object: c.object, field: field, problem: fmt.Sprintf(format, args...)}
	}
}

func (c *checker) checkSelector(field, text string) {
	if _, err := parseSelector(text); err != nil {
		c.addProblem(field, "bad selector: %v", err)
	}
}

func (c *checker) checkRequired(field, text string) {
	if text == "" {
		c.addProblem(field, "must not be empty")
	}
}

func (c *checker) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		c.addProblem(field, "%d is outside %d to %d", value, low, high)
	}
}

func (c *checker) checkNotNegative(field string, value float64) {
	if value < 0 {
		c.addProblem(field, "%g is negative", value)
	}
}

// Validate checks a document without regard to other documents. The error is a *FieldError.
func Validate(d Document) error {
	c := &checker{object: d.Key()}
	if _, err := ParseKind(string(d.Kind)); err != nil {
		c.addProblem("kind", "%v", err)
		return c.err
	}
	if len(d.Name) > maxNameLength || !namePattern.MatchString(d.Name) {
		c.addProblem("name", "%q must be at most %d lower-case letters, digits, dots and dashes", d.Name, maxNameLength)
	}
	c.checkLabels(d.Labels)
	c.checkSpec(d)
	if c.err != nil {
		return c.err
	}
	return nil
}

func (c *checker) checkLabels(all map[string]string) {
	for name, value := range all {
		for _, text := range []string{name, value} {
			if strings.ContainsAny(text, " ,=!()\t\n") {
				c.addProblem("labels", "%q has a character that selectors cannot name", text)
			}
		}
		if name == "" {
			c.addProblem("labels", "a label has no name")
		}
	}
}

func (c *checker) checkSpec(d Document) {
	switch d.Kind {
	case KindModel:
		decodeAndCheck(c, d, c.checkModel)
	case KindAdapter:
		decodeAndCheck(c, d, func(s AdapterSpec) { c.checkSelector("spec.modelSelector", s.ModelSelector) })
	case KindDeployment:
		decodeAndCheck(c, d, c.checkDeployment)
	case KindAccount:
		decodeAndCheck(c, d, c.checkAccount)
	case KindService:
		decodeAndCheck(c, d, c.checkService)
	case KindNode:
		decodeAndCheck(c, d, func(NodeSpec) {})
	case KindDataHall:
		decodeAndCheck(c, d, c.checkDataHall)
	}
}

// decodeAndCheck decodes the spec of d and calls validate with it. It records a problem if the spec
// does not decode or has unknown fields.
func decodeAndCheck[S any](c *checker, d Document, validate func(S)) {
	var spec S
	if len(d.Spec) > 0 {
		decoder := json.NewDecoder(strings.NewReader(string(d.Spec)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&spec); err != nil {
			c.addProblem("spec", "%v", err)
			return
		}
	}
	validate(spec)
}

func (c *checker) checkModel(s ModelSpec) {
	c.checkRequired("spec.version", s.Version)
	c.checkNotNegative("spec.weightsGB", s.WeightsGB)
}

func (c *checker) checkDeployment(s DeploymentSpec) {
	c.checkRequired("spec.modelSelector", s.ModelSelector)
	c.checkSelector("spec.modelSelector", s.ModelSelector)
	c.checkSelector("spec.nodeSelector", s.NodeSelector)
	c.checkSelector("spec.adapterSelector", s.AdapterSelector)
	c.checkSelector("spec.accountSelector", s.AccountSelector)
	c.checkRange("spec.nodesPerReplica", s.NodesPerReplica, MinReplicaNodes, MaxReplicaNodes)
	c.checkRange("spec.replicas", s.Replicas, 0, maxReplicas)
	c.checkNotNegative("spec.objective.downtime", s.Objective.Downtime)
	c.checkNotNegative("spec.objective.stranded", s.Objective.Stranded)
	c.checkAllowedRegions(s.AllowedRegions)
}

func (c *checker) checkAccount(s AccountSpec) {
	if len(s.KeyHashes) == 0 {
		c.addProblem("spec.keyHashes", "must name at least one key")
	}
	for i, hash := range s.KeyHashes {
		if !hashPattern.MatchString(hash) {
			c.addProblem(fmt.Sprintf("spec.keyHashes[%d]", i),
				"must be a SHA-256 hash of %d lower-case hexadecimal digits", hashHexChars)
		}
	}
	c.checkNotNegative("spec.requestsPerSecond", s.RequestsPerSecond)
	c.checkAllowedRegions(s.AllowedRegions)
}

func (c *checker) checkService(s ServiceSpec) {
	c.checkRequired("spec.nodeSelector", s.NodeSelector)
	c.checkSelector("spec.nodeSelector", s.NodeSelector)
	c.checkSelector("spec.accountSelector", s.AccountSelector)
	c.checkAllowedRegions(s.AllowedRegions)
	for i, call := range s.NotRepeatable {
		method, path, ok := strings.Cut(call, " ")
		if !ok || method == "" || !strings.HasPrefix(path, "/") {
			c.addProblem(fmt.Sprintf("spec.notRepeatable[%d]", i), "%q must be METHOD /path", call)
		}
	}
}
