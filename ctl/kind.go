package ctl

import (
	"net/url"
	"strings"

	"github.com/samphirebeam/samphirebeam/resource"
)

var kindAliases = map[string]resource.Kind{
	"domain": resource.FailureDomain,
}

// parseKind accepts a kind in any case, singular or plural, or an alias.
func parseKind(text string) (resource.Kind, error) {
	name := strings.TrimSuffix(strings.ToLower(text), "s")
	if kind, found := kindAliases[name]; found {
		return kind, nil
	}
	for _, kind := range resource.Kinds() {
		if strings.EqualFold(string(kind), name) {
			return kind, nil
		}
	}
	return "", usageErrorf("kind %q: must be one of %v", text, resource.Kinds())
}

func objectPath(ref resource.Ref) string {
	return "/v1/objects/" + string(ref.Kind) + "/" + url.PathEscape(ref.Name)
}

// parseRef parses a kind and a name.
func parseRef(args []string) (resource.Ref, error) {
	if len(args) != 2 {
		return resource.Ref{}, usageErrorf("want a kind and a name")
	}
	kind, err := parseKind(args[0])
	return resource.Ref{Kind: kind, Name: args[1]}, err
}
