package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"go.yaml.in/yaml/v3"
)

// envPrefix is the prefix of the flags' names in the environment.
const envPrefix = "SAMPHIREBEAM"

// Faults lists all errors found in the settings.
type Faults []string

// Error returns the faults, one per line.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// Source reads the settings from flags, the environment and a file. Read is called
// after the flags have been parsed.
type Source struct {
	Settings Settings
	keys     map[string]key // by path
	order    []key
	file     string
	line     int            // of the value being set; 0 if it is not from the file
	lines    map[string]int // by path, for values from the file
	faults   Faults
}

// NewSource defines a flag for each setting, and -config for the file.
func NewSource(fs *flag.FlagSet) *Source {
	s := &Source{Settings: Defaults(), keys: map[string]key{}, lines: map[string]int{}}
	s.order = s.Settings.keys()
	fs.StringVar(&s.file, "config", "", "settings file (YAML)")
	for _, k := range s.order {
		s.keys[k.path] = k
		fs.Var(&faultRecorder{k.value, k.path, s}, k.flagName(), k.help)
	}
	return s
}

// Options returns the options for ff.Parse. Flags override the environment, which
// overrides the file.
func (s *Source) Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(s.parseFile),
	}
}

// Read returns the settings, or Faults if any value is invalid. It must be called
// after ff.Parse with the Source's Options.
func (s *Source) Read() (Settings, error) {
	s.check()
	if len(s.faults) > 0 {
		return Settings{}, s.faults
	}
	return s.Settings, nil
}

// faultRecorder is a flag value that records faults in the Source instead of
// returning them, so that parsing continues and finds all faults.
type faultRecorder struct {
	value
	path   string
	source *Source
}

// Set sets the value, or records a fault for Source.Read.
func (r *faultRecorder) Set(text string) error {
	if err := r.value.Set(text); err != nil {
		r.source.addFault(r.path, "%v", err)
		return nil
	}
	if r.source.line > 0 {
		r.source.lines[r.path] = r.source.line
	}
	return nil
}

// String implements flag.Value. Package flag also calls it on a zero value.
func (r *faultRecorder) String() string {
	if r.value == nil {
		return ""
	}
	return r.value.String()
}

// IsBoolFlag makes the value optional for a flag whose value is a toggle.
func (r *faultRecorder) IsBoolFlag() bool {
	_, is := r.value.(*toggle)
	return is
}

// addFault records a fault of a setting, with its line if the value came from the
// file.
func (s *Source) addFault(path, format string, args ...any) {
	location := path
	line := s.line
	if line == 0 {
		line = s.lines[path]
	}
	if line > 0 {
		location = fmt.Sprintf("%s:%d: %s", s.file, line, path)
	}
	s.faults = append(s.faults, location+": "+fmt.Sprintf(format, args...))
}

func (s *Source) parseFile(r io.Reader, set func(name, value string) error) error {
	var document yaml.Node
	switch err := yaml.NewDecoder(r).Decode(&document); {
	case errors.Is(err, io.EOF): // an empty file
	case err != nil:
		s.faults = append(s.faults, s.file+": "+err.Error())
	default:
		s.walk("", document.Content[0], set)
	}
	s.line = 0
	return nil
}

// walk sets the values of a node and of the nodes below it.
func (s *Source) walk(path string, node *yaml.Node, set func(name, value string) error) {
	s.line = node.Line
	if k, known := s.keys[path]; known {
		s.setNode(k, node, set)
		return
	}
	if node.Kind != yaml.MappingNode {
		if node.Tag != "!!null" {
			s.addFault(path, "holds settings, not a value")
		}
		return
	}
	seen := map[string]bool{}
	for i := 0; i < len(node.Content); i += 2 {
		keyNode, valueNode := node.Content[i], node.Content[i+1]
		child := strings.TrimPrefix(path+"."+keyNode.Value, ".")
		s.line = keyNode.Line
		switch {
		case seen[keyNode.Value]:
			s.addFault(child, "is given twice")
		case !s.isKnown(child):
			s.addFault(child, "unknown key")
		default:
			s.walk(child, valueNode, set)
		}
		seen[keyNode.Value] = true
	}
}

// isKnown reports whether a path is a setting or a section of settings.
func (s *Source) isKnown(path string) bool {
	for known := range s.keys {
		if known == path || strings.HasPrefix(known, path+".") {
			return true
		}
	}
	return false
}

func (s *Source) setNode(k key, node *yaml.Node, set func(name, value string) error) {
	value, ok := flagText(node)
	_, takesList := k.value.(*list)
	_, takesPairs := k.value.(*pairs)
	switch {
	case !ok,
		node.Kind == yaml.SequenceNode && !takesList,
		node.Kind == yaml.MappingNode && !takesPairs:
		s.addFault(k.path, "has the wrong form")
	default:
		_ = set(k.flagName(), value) // faultRecorder.Set returns no error
	}
}

// flagText returns a scalar, a list of scalars or a map of scalars in the form of a
// flag's value.
func flagText(node *yaml.Node) (string, bool) {
	switch node.Kind {
	case yaml.ScalarNode:
		if node.Tag == "!!null" {
			return "", true
		}
		return node.Value, true
	case yaml.SequenceNode:
		var items []string
		for _, item := range node.Content {
			if item.Kind != yaml.ScalarNode {
				return "", false
			}
			items = append(items, item.Value)
		}
		return strings.Join(items, ","), true
	case yaml.MappingNode:
		var items []string
		for i := 0; i < len(node.Content); i += 2 {
			if node.Content[i+1].Kind != yaml.ScalarNode {
				return "", false
			}
			items = append(items, node.Content[i].Value+"="+node.Content[i+1].Value)
		}
		return strings.Join(items, ","), true
	default:
		return "", false
	}
}
