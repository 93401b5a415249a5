package resource

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/samphirebeam/samphirebeam/core"
)

// MaxTextSize is the largest text that Decode accepts, in bytes.
const MaxTextSize = 4 << 20

// Decode reads objects from a JSON text or from a YAML text of one or more
// documents. Each document is an object or a list of objects. Unknown fields,
// wrong types and values that are invalid on their own are reported together in
// one *Refused; references between objects are not checked here.
func Decode(text []byte) ([]Object, error) {
	if len(text) > MaxTextSize {
		return nil, newTextRefusal(core.TooLarge, 0, fmt.Sprintf("the text takes %d bytes of at most %d", len(text), MaxTextSize))
	}
	nodes, err := objectNodes(text)
	if err != nil {
		return nil, err
	}
	var objects []Object
	var out refusals
	for _, node := range nodes {
		if o, ok := decodeObject(node, &out); ok {
			validateObject(&o, &out)
			objects = append(objects, o)
		}
	}
	if err := out.err(core.InvalidRequest); err != nil {
		return nil, err
	}
	return objects, nil
}

func newTextRefusal(kind core.Kind, line int, reason string) error {
	return &Refused{Kind: kind, Refusals: []Refusal{{Line: line, Reason: reason}}}
}

// objectNodes returns the YAML node of each object in the text.
func objectNodes(text []byte) ([]*yaml.Node, error) {
	var nodes []*yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return nodes, nil
		}
		if err != nil {
			line, reason := splitLine(err.Error())
			return nil, newTextRefusal(core.InvalidRequest, line, reason)
		}
		root := document.Content[0]
		switch {
		case root.Kind == yaml.SequenceNode:
			nodes = append(nodes, root.Content...)
		case root.ShortTag() != "!!null":
			nodes = append(nodes, root)
		}
	}
}

var linePattern = regexp.MustCompile(`^(?:yaml: )?(?:unmarshal errors:\s*)?(?:line (\d+): )?((?s).*)$`)

// splitLine separates the line number from the rest of an error message of the
// YAML library. The line is 0 if the message has none.
func splitLine(message string) (int, string) {
	parts := linePattern.FindStringSubmatch(message)
	line, _ := strconv.Atoi(parts[1])
	return line, parts[2]
}

// decodeObject reads one object. Its kind and name are read first, so that each
// refusal can name the object. It returns false if any refusal was added.
func decodeObject(node *yaml.Node, out *refusals) (Object, bool) {
	var o Object
	kind, name := mappingValue(node, "kind"), mappingValue(node, "name")
	if kind != nil {
		o.Kind = Kind(kind.Value)
	}
	if name != nil {
		o.Name = name.Value
	}
	spec := newSpec(o.Kind)
	if spec == nil {
		out.list = append(out.list, Refusal{
			Object: o.Ref().String(), Field: "kind", Line: node.Line,
			Reason: fmt.Sprintf("is %q; must be one of %v", o.Kind, Kinds()),
		})
		return o, false
	}
	o.Spec = spec
	before := len(out.list)
	s := &strictDecoder{ref: o.Ref(), out: out}
	s.decodeFields(node, &o)
	spec.setDefaults()
	return o, len(out.list) == before
}

// mappingValue returns the value of a key in a mapping node, or nil.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}
