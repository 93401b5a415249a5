package nohedge

import (
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
)

func TestSetup(t *testing.T) {
	made, err := core.Hedgers.New("nohedge", core.PolicyOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if _, hedge := made.Delay("s"); hedge {
		t.Error("hedged")
	}
	if _, err := core.Hedgers.New("nohedge", core.PolicyOptions{Parameters: map[string]string{"x": "1"}}); err == nil {
		t.Error("an unknown parameter was accepted")
	}
}
