package configsync

import (
	"strconv"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/resource"
)

// TopicStoredAgain is the topic of the record that the platform held an older generation
// than this host, which stores its own again.
const TopicStoredAgain = "configuration.stored_again"

// checkStored detects that the platform holds an older document than the one in force,
// because it was restored from a copy. The document is then stored again: operators
// were told that it is accepted, and their next change builds on what is stored.
func (s *Sync) checkStored(e core.PlatformChanged, out *core.Actions) {
	generation, ok := resource.PeekGeneration(e.Value)
	missing := len(e.Value) == 0
	if !ok && !missing || generation >= s.doc.Generation {
		s.lost = 0
		return
	}
	s.lost = e.Version
	s.storeAgain(out)
}

// storeAgain writes the document in force in place of the older one, on condition of
// its version: another host may have done so, or an operator's change.
func (s *Sync) storeAgain(out *core.Actions) {
	if s.lost == 0 || s.storing != 0 {
		return
	}
	encoded, err := s.doc.Encode()
	if err != nil {
		s.recordInvalid(string(s.config.Self), err, out)
		return
	}
	s.operation++
	s.storing = s.operation
	out.Add(core.PlatformCall{
		Operation: core.OperationsConfig | s.storing,
		Op:        core.PlatformPut,
		Key:       core.ConfigKey,
		Version:   s.lost,
		Value:     encoded,
		Timeout:   s.config.PlatformTimeout,
	})
	out.Add(core.Record{Topic: TopicStoredAgain, Fields: map[string]string{"generation": strconv.FormatUint(s.doc.Generation, 10)}})
}
