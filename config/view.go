package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// Object is a document in force with the revision of its last change.
type Object struct {
	document Document
	revision int64
}

// Document returns the document.
func (o Object) Document() Document { return o.document }

// Revision returns the revision of the object's last change.
func (o Object) Revision() int64 { return o.revision }

// View is an immutable snapshot of the configuration. Its lists are sorted by name.
type View struct {
	objects     map[Key]Object
	revision    int64
	models      []Model
	adapters    []Adapter
	deployments []Deployment
	accounts    []*Account
	services    []Service
	// accountKeys holds the accounts by the hashes of their bearer keys.
	accountKeys map[string]*Account
	// nodeLabels holds the labels of nodes with a Node document, by node.
	nodeLabels map[string]map[string]string
	halls      []Hall
}

// newView returns a view of the given objects, which must be valid.
func newView(objects map[Key]Object, revision int64) *View {
	v := &View{
		objects:     objects,
		revision:    revision,
		accountKeys: make(map[string]*Account),
		nodeLabels:  make(map[string]map[string]string),
	}
	for _, key := range v.sortedKeys() {
		v.compile(objects[key].document)
	}
	return v
}

// compile adds an object, with its selectors parsed, to the list of its kind.
func (v *View) compile(d Document) {
	switch d.Kind {
	case KindModel:
		v.models = append(v.models, newModel(d))
	case KindAdapter:
		v.adapters = append(v.adapters, newAdapter(d))
	case KindDeployment:
		v.deployments = append(v.deployments, newDeployment(d))
	case KindService:
		v.services = append(v.services, newService(d))
	case KindNode:
		v.nodeLabels[d.Name] = d.Labels
	case KindDataHall:
		v.halls = append(v.halls, newHall(d))
	case KindAccount:
		account := newAccount(d)
		v.accounts = append(v.accounts, account)
		for _, hash := range account.spec.KeyHashes {
			v.accountKeys[hash] = account
		}
	}
}

// sortedKeys returns the keys of all objects, ordered by compareKeys.
func (v *View) sortedKeys() []Key {
	return slices.SortedFunc(maps.Keys(v.objects), compareKeys)
}

// compareKeys orders keys by kind, then by name.
func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
}

// Revision returns the revision of the last accepted change set.
func (v *View) Revision() int64 { return v.revision }

// Objects returns all objects, sorted by kind and name.
func (v *View) Objects() []Object {
	keys := v.sortedKeys()
	all := make([]Object, 0, len(keys))
	for _, key := range keys {
		all = append(all, v.objects[key])
	}
	return all
}

// Object returns the object with the given key.
func (v *View) Object(key Key) (Object, bool) {
	o, ok := v.objects[key]
	return o, ok
}

// Deployments returns all deployments, sorted by name.
func (v *View) Deployments() []Deployment { return v.deployments }

// Deployment returns the deployment with the given name.
func (v *View) Deployment(name string) (Deployment, bool) {
	i, ok := slices.BinarySearchFunc(v.deployments, name, func(d Deployment, name string) int {
		return strings.Compare(d.name, name)
	})
	if !ok {
		return Deployment{}, false
	}
	return v.deployments[i], true
}

// Service returns the service with the given name.
func (v *View) Service(name string) (Service, bool) {
	for _, s := range v.services {
		if s.name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Services returns all services, sorted by name.
func (v *View) Services() []Service { return v.services }

// Accounts returns all client accounts, sorted by name.
func (v *View) Accounts() []*Account { return v.accounts }

// AccountByKey returns the client account that owns a bearer key.
func (v *View) AccountByKey(key string) (*Account, bool) {
	a, ok := v.accountKeys[HashKey(key)]
	return a, ok
}

// ModelOf returns the model that the deployment selects. It returns an error unless the selector
// matches exactly one.
func (v *View) ModelOf(d Deployment) (Model, error) {
	var found []Model
	for _, m := range v.models {
		if d.models.Matches(labels.Set(m.labels)) {
			found = append(found, m)
		}
	}
	switch len(found) {
	case 0:
		return Model{}, fmt.Errorf("model selector %q matches no model", d.spec.ModelSelector)
	case 1:
		return found[0], nil
	default:
		return Model{}, fmt.Errorf("model selector %q matches %d models, want one", d.spec.ModelSelector, len(found))
	}
}

// AdaptersOf returns the names of the adapters that the deployment selects and that can be used
// with its model, sorted.
func (v *View) AdaptersOf(d Deployment, m Model) []string {
	if d.spec.AdapterSelector == "" {
		return nil
	}
	var names []string
	for _, a := range v.adapters {
		if d.adapters.Matches(labels.Set(a.labels)) && a.models.Matches(labels.Set(m.labels)) {
			names = append(names, a.name)
		}
	}
	return names
}

// NodeLabels returns the labels of a node. Labels that operators published override those of the
// node list.
func (v *View) NodeLabels(node string, listed map[string]string) map[string]string {
	all := maps.Clone(listed)
	if all == nil {
		all = make(map[string]string)
	}
	maps.Copy(all, v.nodeLabels[node])
	return all
}

// Warnings returns warnings about what is valid in the configuration but probably not intended.
func (v *View) Warnings() []string {
	var warnings []string
	for _, d := range v.deployments {
		if _, err := v.ModelOf(d); err != nil {
			warnings = append(warnings, fmt.Sprintf("Deployment/%s: %v", d.name, err))
		}
		if !slices.ContainsFunc(v.accounts, d.Allows) {
			warnings = append(warnings, fmt.Sprintf("Deployment/%s: account selector %q matches no client account",
				d.name, d.spec.AccountSelector))
		}
	}
	return append(warnings, v.hallWarnings()...)
}

// apply returns the objects that result from set, or the error with which set is rejected. Changed
// objects get the given revision. The view stays as it is.
func (v *View) apply(set ChangeSet, revision int64) (map[Key]Object, error) {
	if len(set.Changes) == 0 {
		return nil, fmt.Errorf("the change set is empty")
	}
	objects := make(map[Key]Object, len(v.objects)+len(set.Changes))
	maps.Copy(objects, v.objects)
	for _, c := range set.Changes {
		if err := v.applyChange(objects, c, revision); err != nil {
			return nil, err
		}
	}
	if err := checkBearerKeys(objects); err != nil {
		return nil, err
	}
	if err := checkRegions(objects); err != nil {
		return nil, err
	}
	return objects, nil
}

// applyChange applies one change of a set to objects. The base of the change is compared with the
// object's revision in the view.
func (v *View) applyChange(objects map[Key]Object, c Change, revision int64) error {
	key := c.Document.Key()
	current := v.objects[key]
	if current.revision != c.Base {
		return &conflictError{
			object: key, base: c.Base, current: current.revision,
			fields: differingFields(current.document, c.Document),
		}
	}
	switch c.Operation {
	case OperationPut:
		if err := Validate(c.Document); err != nil {
			return err
		}
		objects[key] = Object{document: c.Document, revision: revision}
	case OperationDelete:
		if current.revision == 0 {
			return fmt.Errorf("%s does not exist", key)
		}
		delete(objects, key)
	default:
		return fmt.Errorf("%s: unknown operation %q", key, c.Operation)
	}
	return nil
}

// checkBearerKeys returns an error if two client accounts have a bearer key in common, since their
// requests could not be distinguished.
func checkBearerKeys(objects map[Key]Object) error {
	owners := make(map[string]string)
	for key, object := range objects {
		if key.Kind != KindAccount {
			continue
		}
		spec, err := decodeSpec[AccountSpec](object.document)
		if err != nil {
			return err
		}
		for _, hash := range spec.KeyHashes {
			if other, ok := owners[hash]; ok && other != key.Name {
				first, second := min(other, key.Name), max(other, key.Name)
				return fmt.Errorf("client accounts %s and %s have a key in common", first, second)
			}
			owners[hash] = key.Name
		}
	}
	return nil
}

// HashKey returns the hash by which a bearer key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
