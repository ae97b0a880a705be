package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Position is a line in a file, starting at one.
type Position struct {
	file string
	line int
}

// String returns FILE:LINE.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d", p.file, p.line)
}

// Parsed is a document that was parsed from a file, with its position there.
type Parsed struct {
	document Document
	position Position
}

// Document returns the document.
func (p Parsed) Document() Document { return p.document }

// Position returns where the document starts.
func (p Parsed) Position() Position { return p.position }

// yamlDocument is the YAML form of a document.
type yamlDocument struct {
	Kind   string            `yaml:"kind"`
	Name   string            `yaml:"name"`
	Labels map[string]string `yaml:"labels"`
	Spec   map[string]any    `yaml:"spec"`
}

// ParseFile parses and validates the YAML documents in text. Errors contain the file, the line and
// the field.
func ParseFile(file, text string) ([]Parsed, error) {
	tree, err := parser.ParseBytes([]byte(text), 0)
	if err != nil {
		return nil, fmt.Errorf("%s: %s", file, yaml.FormatError(err, false, false))
	}
	var all []Parsed
	for _, node := range tree.Docs {
		if node.Body == nil || node.Body.Type() == ast.NullType || node.Body.Type() == ast.CommentType {
			continue
		}
		parsed, err := parseNode(file, node.Body)
		if err != nil {
			return nil, err
		}
		all = append(all, parsed)
	}
	return all, nil
}

func parseNode(file string, body ast.Node) (Parsed, error) {
	position := Position{file: file, line: body.GetToken().Position.Line}
	var raw yamlDocument
	if err := yaml.NodeToValue(body, &raw, yaml.Strict()); err != nil {
		return Parsed{}, fmt.Errorf("%s: %s", file, yaml.FormatError(err, false, false))
	}
	d := Document{Kind: Kind(raw.Kind), Name: raw.Name, Labels: raw.Labels}
	if len(raw.Spec) > 0 {
		spec, err := json.Marshal(raw.Spec)
		if err != nil {
			return Parsed{}, fmt.Errorf("%s: field spec: %w", position, err)
		}
		d.Spec = spec
	}
	if err := Validate(d); err != nil {
		return Parsed{}, addLocation(file, body, err)
	}
	return Parsed{document: d, position: position}, nil
}

// addLocation adds the file and a line to err. This is the line of the field that err is about, or
// else the first line of the document.
func addLocation(file string, body ast.Node, err error) error {
	line := body.GetToken().Position.Line
	var field *FieldError
	if errors.As(err, &field) {
		if node := nodeAt(body, field.Field()); node != nil {
			line = node.GetToken().Position.Line
		}
	}
	return fmt.Errorf("%s: %w", Position{file: file, line: line}, err)
}

// nodeAt returns the YAML node at a field path such as spec.keyHashes[0], or nil if there is none.
func nodeAt(body ast.Node, field string) ast.Node {
	path, err := yaml.PathString("$." + strings.TrimSpace(field))
	if err != nil {
		return nil
	}
	node, err := path.FilterNode(body)
	if err != nil {
		return nil
	}
	return node
}
