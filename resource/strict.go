package resource

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// strictDecoder decodes YAML nodes into Go values and refuses unknown and
// duplicate fields. Unlike KnownFields of the YAML library, it also works within
// a custom decoder, continues after an error, and reports every error with field
// path and line.
type strictDecoder struct {
	ref Ref
	out *refusals
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (s *strictDecoder) refuse(node *yaml.Node, path, format string, args ...any) {
	s.out.list = append(s.out.list, Refusal{
		Object: s.ref.String(), Field: path, Line: node.Line, Reason: fmt.Sprintf(format, args...),
	})
}

// decodeFields decodes the fields of an object, whose Spec must already point to
// a value of the type for its kind.
func (s *strictDecoder) decodeFields(node *yaml.Node, o *Object) {
	value := reflect.ValueOf(o).Elem()
	fields := yamlFields(value)
	fields["spec"] = reflect.ValueOf(o.Spec).Elem()
	s.decodeMapping(node, "", fields)
}

// yamlFields returns the fields of a struct that have a YAML name, by that name.
func yamlFields(value reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" {
			fields[name] = value.Field(i)
		}
	}
	return fields
}

func (s *strictDecoder) decodeMapping(node *yaml.Node, path string, fields map[string]reflect.Value) {
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field := joinPath(path, key.Value)
		target, known := fields[key.Value]
		switch {
		case !known:
			s.refuse(key, field, "is not a known field")
		case seen[key.Value]:
			s.refuse(key, field, "is there twice")
		default:
			s.decodeValue(node.Content[i+1], field, target)
		}
		seen[key.Value] = true
	}
}

// decodeValue decodes one node into target; null leaves the target unchanged.
func (s *strictDecoder) decodeValue(node *yaml.Node, path string, target reflect.Value) {
	if node.ShortTag() == "!!null" {
		return
	}
	kind := target.Kind()
	switch {
	case node.Kind == yaml.AliasNode:
		s.refuse(node, path, "aliases are not taken")
	case target.CanAddr() && target.Addr().Type().Implements(textUnmarshaler):
		s.decodeScalar(node, path, target)
	case kind == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		s.decodeValue(node, path, target.Elem())
	case kind == reflect.Struct:
		if s.requireKind(node, path, yaml.MappingNode, "a mapping") {
			s.decodeMapping(node, path, yamlFields(target))
		}
	case kind == reflect.Slice:
		if s.requireKind(node, path, yaml.SequenceNode, "a list") {
			s.decodeSequence(node, path, target)
		}
	default:
		s.decodeScalar(node, path, target)
	}
}

// requireKind reports whether the node is of the wanted kind, and adds a refusal
// if it is not.
func (s *strictDecoder) requireKind(node *yaml.Node, path string, want yaml.Kind, name string) bool {
	if node.Kind != want {
		s.refuse(node, path, "must be %s", name)
	}
	return node.Kind == want
}

func (s *strictDecoder) decodeSequence(node *yaml.Node, path string, target reflect.Value) {
	target.Set(reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content)))
	for i, element := range node.Content {
		s.decodeValue(element, fmt.Sprintf("%s[%d]", path, i), target.Index(i))
	}
}

func (s *strictDecoder) decodeScalar(node *yaml.Node, path string, target reflect.Value) {
	if !s.requireKind(node, path, yaml.ScalarNode, "a single value") {
		return
	}
	if err := node.Decode(target.Addr().Interface()); err != nil {
		_, reason := splitLine(err.Error())
		s.refuse(node, path, "%s", reason)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
