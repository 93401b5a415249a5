package expected

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

func TestAdmit(t *testing.T) {
	e := &Expected{Factor: 2, MaxRunning: 3, MinRetryAfter: 10 * time.Millisecond}
	ms := time.Millisecond
	cases := []struct {
		in   core.AdmissionInput
		kind core.Kind
		wait time.Duration
	}{
		{core.AdmissionInput{Remaining: 100 * ms, Expected: 50 * ms}, core.OK, 0},
		{core.AdmissionInput{Remaining: 100 * ms, Expected: 80 * ms}, core.DeadlineUnreachable, 60 * ms},
		{core.AdmissionInput{Remaining: 100 * ms, Expected: 51 * ms}, core.DeadlineUnreachable, 10 * ms},
		{core.AdmissionInput{Remaining: 100 * ms, Expected: 20 * ms, Running: 3}, core.Overloaded, 20 * ms},
		{core.AdmissionInput{Remaining: 100 * ms}, core.OK, 0},
	}
	for _, c := range cases {
		if kind, wait := e.Admit(c.in); kind != c.kind || wait != c.wait {
			t.Errorf("%+v: %v, %v; want %v, %v", c.in, kind, wait, c.kind, c.wait)
		}
	}
}

func TestSetup(t *testing.T) {
	if _, err := core.Admissions.New("expected", core.PolicyOptions{Parameters: map[string]string{"factor": "0"}}); err == nil {
		t.Error("a factor of 0 was accepted")
	}
	made, err := core.Admissions.New("expected", core.PolicyOptions{})
	if err != nil || made.(*Expected).Factor != 2.5 {
		t.Errorf("%+v, %v", made, err)
	}
}
