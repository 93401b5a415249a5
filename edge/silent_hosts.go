package edge

import (
	"sync"

	"github.com/samphirebeam/samphirebeam/core"
)

// silentHosts holds the hosts that this host reports to its followers as silent.
type silentHosts struct {
	mu      sync.Mutex
	hosts   []string
	changed chan struct{} // closed and replaced by each change
}

func newSilentHosts() *silentHosts { return &silentHosts{changed: make(chan struct{})} }

// set replaces the silent hosts.
func (s *silentHosts) set(hosts []core.HostID) {
	names := make([]string, len(hosts))
	for i, id := range hosts {
		names[i] = string(id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = names
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the silent hosts, and a channel that is closed at the next change.
func (s *silentHosts) get() ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts, s.changed
}

func hostIDs(names []string) []core.HostID {
	ids := make([]core.HostID, len(names))
	for i, name := range names {
		ids[i] = core.HostID(name)
	}
	return ids
}
