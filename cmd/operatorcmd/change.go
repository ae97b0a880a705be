package operatorcmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"strings"

	"quartzshelf.dev/config"
	"quartzshelf.dev/daemon"
)

// applyCommand publishes the documents of files.
type applyCommand struct {
	File   []string `help:"YAML files of documents." short:"f" required:"" type:"existingfile"`
	Author string   `help:"Name to show in the history." env:"USER"`
}

// Run publishes the documents that differ from the current configuration.
func (a *applyCommand) Run(env *environment) error {
	parsed, err := parseFiles(a.File)
	if err != nil {
		return err
	}
	rows, err := env.client.listObjects("", "", "")
	if err != nil {
		return err
	}
	set := config.ChangeSet{Author: a.Author}
	for _, p := range parsed {
		d := p.Document()
		current := findObject(rows, d.Key())
		if current != nil && equalDocuments(current.Document, d) {
			fmt.Fprintf(env.stdout, "%s unchanged\n", d.Key())
			continue
		}
		set.Changes = append(set.Changes, putChange(d, current))
	}
	if len(set.Changes) == 0 {
		return nil
	}
	return env.publish(set)
}

func putChange(d config.Document, current *daemon.ObjectRow) config.Change {
	c := config.Change{Operation: config.OperationPut, Document: d}
	if current != nil {
		c.Base = current.Revision
	}
	return c
}

// parseFiles parses and validates the documents of all files, and refuses duplicates.
func parseFiles(files []string) ([]config.Parsed, error) {
	var all []config.Parsed
	seen := make(map[config.Key]config.Position)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, &usageError{cause: err}
		}
		parsed, err := config.ParseFile(file, string(text))
		if err != nil {
			return nil, &usageError{cause: err}
		}
		for _, p := range parsed {
			key := p.Document().Key()
			if first, isDuplicate := seen[key]; isDuplicate {
				return nil, &usageError{cause: fmt.Errorf("%s: %s is already at %s", p.Position(), key, first)}
			}
			seen[key] = p.Position()
		}
		all = append(all, parsed...)
	}
	return all, nil
}

func findObject(rows []daemon.ObjectRow, key config.Key) *daemon.ObjectRow {
	for i := range rows {
		if rows[i].Key() == key {
			return &rows[i]
		}
	}
	return nil
}

// equalDocuments reports whether two documents have the same labels and the same content.
func equalDocuments(a, b config.Document) bool {
	return maps.Equal(a.Labels, b.Labels) && bytes.Equal(canonicalJSON(a.Spec), canonicalJSON(b.Spec))
}

// canonicalJSON returns an encoding that is the same for any two specs with equal content.
func canonicalJSON(spec json.RawMessage) []byte {
	var value any
	if json.Unmarshal(spec, &value) != nil {
		return spec
	}
	text, err := json.Marshal(value)
	if err != nil {
		return spec
	}
	return text
}

// publish submits a change set and prints the verdict to standard output.
func (env *environment) publish(set config.ChangeSet) error {
	return env.publishTo(env.stdout, set)
}

// publishTo submits a change set and writes the verdict to out.
func (env *environment) publishTo(out io.Writer, set config.ChangeSet) error {
	reply, err := env.client.publish(set)
	if err != nil {
		return err
	}
	for _, warning := range reply.Warnings {
		fmt.Fprintln(env.stderr, "warning:", warning)
	}
	if !reply.Verdict.Accepted {
		return &refusedError{problem: reply.Verdict.Problem}
	}
	for i, object := range reply.Verdict.Objects {
		pastAction := "applied"
		if set.Changes[i].Operation == config.OperationDelete {
			pastAction = "deleted"
		}
		fmt.Fprintf(out, "%s %s at revision %d\n", object, pastAction, reply.Verdict.Offset+1)
	}
	return nil
}

// deleteCommand deletes an object.
type deleteCommand struct {
	Kind   string `arg:"" help:"Kind of the object."`
	Name   string `arg:"" help:"Name of the object."`
	Author string `help:"Name to show in the history." env:"USER"`
}

// Run publishes the deletion of the object.
func (d *deleteCommand) Run(env *environment) error {
	current, err := env.currentObject(d.Kind, d.Name)
	if err != nil {
		return err
	}
	if current == nil {
		return &usageError{cause: fmt.Errorf("%s/%s does not exist", d.Kind, d.Name)}
	}
	change := putChange(current.Document, current)
	change.Operation = config.OperationDelete
	return env.publish(config.ChangeSet{Author: d.Author, Changes: []config.Change{change}})
}

// currentObject returns the published object, or nil if it does not exist.
func (env *environment) currentObject(kind, name string) (*daemon.ObjectRow, error) {
	parsed, err := config.ParseKind(kind)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	rows, err := env.client.listObjects(string(parsed), name, "")
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return &rows[0], nil
}

// labelCommand sets and removes labels of one object.
type labelCommand struct {
	Kind   string   `arg:"" help:"Kind of the object."`
	Name   string   `arg:"" help:"Name of the object."`
	Labels []string `arg:"" help:"KEY=VALUE to set a label, KEY- to remove it."`
	Author string   `help:"Name to show in the history." env:"USER"`
}

// Run publishes the object with the changed labels.
func (l *labelCommand) Run(env *environment) error {
	current, err := env.currentObject(l.Kind, l.Name)
	if err != nil {
		return err
	}
	d := config.Document{Kind: config.Kind(l.Kind), Name: l.Name}
	switch {
	case current != nil:
		d = current.Document
	case d.Kind != config.KindNode:
		return &usageError{cause: fmt.Errorf("%s does not exist", d.Key())}
	}
	if d.Labels, err = applyLabelEdits(d.Labels, l.Labels); err != nil {
		return &usageError{cause: err}
	}
	if err := config.Validate(d); err != nil {
		return &usageError{cause: err}
	}
	return env.publish(config.ChangeSet{Author: l.Author, Changes: []config.Change{putChange(d, current)}})
}

// applyLabelEdits returns a copy of labels with the edits applied.
func applyLabelEdits(labels map[string]string, edits []string) (map[string]string, error) {
	all := maps.Clone(labels)
	if all == nil {
		all = make(map[string]string)
	}
	for _, edit := range edits {
		name, value, isSet := strings.Cut(edit, "=")
		removed, isRemoved := strings.CutSuffix(edit, "-")
		switch {
		case isSet && name != "":
			all[name] = value
		case isRemoved && removed != "":
			delete(all, removed)
		default:
			return nil, errors.New("a label must be KEY=VALUE or KEY-, not " + edit)
		}
	}
	return all, nil
}

// validateCommand checks the documents of files without publishing them.
type validateCommand struct {
	File []string `help:"YAML files of documents." short:"f" required:"" type:"existingfile"`
}

// Run prints the documents that are valid, or returns the first error.
func (v *validateCommand) Run(env *environment) error {
	parsed, err := parseFiles(v.File)
	if err != nil {
		return err
	}
	for _, p := range parsed {
		fmt.Fprintf(env.stdout, "%s: %s is valid\n", p.Position(), p.Document().Key())
	}
	return nil
}

// hashKeyCommand prints the hash of a bearer key.
type hashKeyCommand struct {
	Key string `arg:"" help:"The bearer key."`
}

// Run prints the hash of the key.
func (h *hashKeyCommand) Run(env *environment) error {
	_, err := fmt.Fprintln(env.stdout, config.HashKey(h.Key))
	return err
}
