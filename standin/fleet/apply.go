package fleet

import (
	"net/http"
)

// Apply applies objects, written as YAML, through the host's resource API.
func (h *Host) Apply(text string) error {
	return sendJSON(http.MethodPost, "http://"+h.Operator+"/v1/apply", []byte(text), nil)
}

// ApplyText applies objects, written as YAML, through the first running host.
func (f *Fleet) ApplyText(text string) error {
	for _, h := range f.Hosts {
		if !h.Ended() {
			return h.Apply(text)
		}
	}
	return f.Hosts[0].Apply(text)
}
