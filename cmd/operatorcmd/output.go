package operatorcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

const tabPadding = 2

// table is the output of a command in the table format.
type table struct {
	head []string
	rows [][]string
}

// show writes value as JSON or YAML, or the table, depending on the format.
func show(w io.Writer, format string, value any, t table) error {
	switch format {
	case formatJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case formatYAML:
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		text, err := yaml.JSONToYAML(data)
		if err != nil {
			return err
		}
		_, err = w.Write(text)
		return err
	default:
		return t.write(w)
	}
}

func (t table) write(w io.Writer) error {
	tabs := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	if _, err := fmt.Fprintln(tabs, strings.Join(t.head, "\t")); err != nil {
		return err
	}
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(tabs, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tabs.Flush()
}
