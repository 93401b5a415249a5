package settings

import (
	"strings"

	"go.yaml.in/yaml/v3"
)

// YAML returns all values in the format of the settings file, with their help texts
// as comments.
func (s Settings) YAML() ([]byte, error) {
	root := &yaml.Node{Kind: yaml.MappingNode}
	for _, k := range s.keys() {
		parts := strings.Split(k.path, ".")
		parent := root
		for _, part := range parts[:len(parts)-1] {
			parent = childSection(parent, part)
		}
		name := &yaml.Node{Kind: yaml.ScalarNode, Value: parts[len(parts)-1], HeadComment: k.help}
		parent.Content = append(parent.Content, name, nodeOf(k.value))
	}
	return yaml.Marshal(root)
}

// childSection returns the mapping of that name below parent. Because the keys of a
// section are contiguous, it is either the last mapping or a new one.
func childSection(parent *yaml.Node, name string) *yaml.Node {
	if n := len(parent.Content); n > 0 && parent.Content[n-2].Value == name {
		return parent.Content[n-1]
	}
	child := &yaml.Node{Kind: yaml.MappingNode}
	parent.Content = append(parent.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name}, child)
	return child
}

func nodeOf(v value) *yaml.Node {
	node := &yaml.Node{}
	switch v := v.(type) {
	case *text:
		_ = node.Encode(string(*v))
	case *list:
		_ = node.Encode([]string(*v))
	case *pairs:
		_ = node.Encode(map[string]string(*v))
	default:
		*node = yaml.Node{Kind: yaml.ScalarNode, Value: v.String()}
	}
	return node
}
