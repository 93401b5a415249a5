package fleet

import (
	"net/http"
)

// Apply puts objects in through the host's resource API, as YAML.
func (h *Host) Apply(text string) error {
	return sendJSON(http.MethodPost, "http://"+h.Operator+"/v1/apply", []byte(text), nil)
}

// ApplyText puts objects in through the first host that runs.
func (f *Fleet) ApplyText(text string) error {
	for _, h := range f.Hosts {
		if !h.Ended() {
			return h.Apply(text)
		}
	}
	return f.Hosts[0].Apply(text)
}
