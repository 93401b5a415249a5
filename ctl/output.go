package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

func checkFormat(format string) error {
	switch format {
	case formatTable, formatJSON, formatYAML:
		return nil
	default:
		return usageErrorf("output %q: must be table, json or yaml", format)
	}
}

// writeValue writes a value as JSON or YAML.
func writeValue(w io.Writer, format string, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if format == formatJSON {
		_, err = fmt.Fprintln(w, string(encoded))
		return err
	}
	return writeYAML(w, encoded)
}

// writeYAML converts JSON to YAML and keeps the order of the fields.
func writeYAML(w io.Writer, encoded []byte) error {
	var node yaml.Node
	if err := yaml.Unmarshal(encoded, &node); err != nil {
		return err
	}
	useBlockStyle(&node)
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(&node); err != nil {
		return err
	}
	_, err := w.Write(out.Bytes())
	return err
}

// useBlockStyle removes the flow style and the quotes of the JSON source. The
// encoder still quotes strings that would otherwise parse as another type.
func useBlockStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		useBlockStyle(child)
	}
}

// table writes rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, columns ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *table) row(cells ...string) {
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }
