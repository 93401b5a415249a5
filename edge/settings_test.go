package edge

import "testing"

// TestUpstreamCapacityIsChecked guards against a misspelt value that disables the
// learned capacity silently.
func TestUpstreamCapacityIsChecked(t *testing.T) {
	for value, valid := range map[string]bool{"off": true, "learned": true, "": false, "on": false} {
		s := DefaultSettings()
		s.UpstreamCapacity = value
		if err := s.Check(); (err == nil) != valid {
			t.Errorf("%q: %v", value, err)
		}
	}
}
