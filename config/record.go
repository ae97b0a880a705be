package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Operation is what a change does to an object.
type Operation string

// The operations.
const (
	// OperationPut adds or replaces an object.
	OperationPut Operation = "put"
	// OperationDelete removes an object.
	OperationDelete Operation = "delete"
)

// Change is one operation on an object.
type Change struct {
	Operation Operation `json:"operation"`
	Document  Document  `json:"document"`
	// Base is the revision of the object that the author changed, or zero if the object did not exist.
	// The change is rejected if the object has another revision by now.
	Base int64 `json:"base"`
}

// ChangeSet is the content of a record in the configuration stream. It is accepted or rejected as a
// whole.
type ChangeSet struct {
	Author  string   `json:"author,omitempty"`
	Changes []Change `json:"changes"`
}

// Encode returns the change set as JSON.
func (c ChangeSet) Encode() (json.RawMessage, error) {
	return json.Marshal(c)
}

// Verdict is the result of applying a change set. It says whether the change set was accepted, and
// if not, why.
type Verdict struct {
	// Offset is the offset of the record. Accepted objects get the revision Offset + 1.
	Offset   int64    `json:"offset"`
	ID       string   `json:"id"`
	Author   string   `json:"author,omitempty"`
	Time     string   `json:"time"`
	Accepted bool     `json:"accepted"`
	Objects  []string `json:"objects"`
	// Problem is why the change set was rejected, empty if it was accepted.
	Problem string `json:"problem,omitempty"`
}

// conflictError is the error for a change whose object has another revision than Change.Base.
type conflictError struct {
	object  Key
	base    int64
	current int64
	fields  []string
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("%s was changed meanwhile: made against revision %d, now at %d, clashing in %s",
		e.object, e.base, e.current, strings.Join(e.fields, ", "))
}

// differingFields returns the paths of the fields in which two documents differ, sorted. If they do
// not differ, it returns a single message that says so.
func differingFields(a, b Document) []string {
	var fields []string
	for name := range unionOfNames(a.Labels, b.Labels) {
		if a.Labels[name] != b.Labels[name] {
			fields = append(fields, "labels."+name)
		}
	}
	specA, specB := fieldsOf(a.Spec), fieldsOf(b.Spec)
	for name := range unionOfNames(specA, specB) {
		if !bytes.Equal(specA[name], specB[name]) {
			fields = append(fields, "spec."+name)
		}
	}
	if len(fields) == 0 {
		return []string{"nothing: both wrote the same"}
	}
	slices.Sort(fields)
	return fields
}

// fieldsOf returns the top-level fields of a spec.
func fieldsOf(spec json.RawMessage) map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage)
	if len(spec) > 0 {
		// Validate rejects specs that are not objects.
		_ = json.Unmarshal(spec, &fields)
	}
	return fields
}

// unionOfNames returns the keys of both maps.
func unionOfNames[V any](a, b map[string]V) map[string]struct{} {
	names := make(map[string]struct{}, len(a)+len(b))
	for name := range a {
		names[name] = struct{}{}
	}
	for name := range b {
		names[name] = struct{}{}
	}
	return names
}
