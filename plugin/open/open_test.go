package open

import (
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
)

func TestSetup(t *testing.T) {
	made, err := core.Admissions.New("open", core.PolicyOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if kind, _ := made.Admit(core.AdmissionInput{Running: 1 << 30}); kind != core.OK {
		t.Errorf("refused: %v", kind)
	}
	if _, err := core.Admissions.New("open", core.PolicyOptions{Parameters: map[string]string{"x": "1"}}); err == nil {
		t.Error("an unknown parameter was accepted")
	}
}
