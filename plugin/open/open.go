// Package open provides an admission policy that admits every query.
package open

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Open is a core.Admission.
type Open struct{}

// Admit returns OK.
func (Open) Admit(core.AdmissionInput) (core.Kind, time.Duration) { return core.OK, 0 }
