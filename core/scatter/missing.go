package scatter

import (
	"fmt"
	"strings"
)

// maxMissingNamed bounds the parts that missingParts names.
const maxMissingNamed = 5

// missingParts says which parts a call has not received, and why.
func (c *call) missingParts() string {
	var missing []string
	for _, p := range c.parts {
		if p.answered {
			continue
		}
		why := "late"
		switch {
		case p.dropped:
			why = "expected too late"
		case p.exhausted && p.sends == 0:
			why = "no upstream"
		case p.exhausted:
			why = "failed"
		case p.waiting:
			why = "queued"
		}
		missing = append(missing, "without "+string(p.service)+", "+why)
	}
	if more := len(missing) - maxMissingNamed; more > 0 {
		missing = append(missing[:maxMissingNamed], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(missing, "; ")
}
