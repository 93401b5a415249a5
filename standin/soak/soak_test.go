package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/soak"
)

// seeds maps each tested seed to its description: a seed that has failed before,
// with the cause, and one ordinary seed.
var seeds = map[uint64]string{
	100: "a question that many callers ask was quarantined after two lost answers",
	1:   "a short run of fresh faults",
	3:   "a short run with teams: keys are withdrawn, one team has a quota",
	11:  "a request crashed its servers without end, since its callers left before and nothing else was sent there",
}

func TestSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "faultyedge")
	if out, err := exec.Command("go", "build", "-o", program, "./faultyedge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for seed, cause := range seeds {
		result, err := soak.Run(soak.Config{
			Program: program, Folder: filepath.Join(t.TempDir(), "soak"), Seed: seed, Hosts: 5, Callers: 12, Faults: 6 * time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, broken := range result.Violations {
			t.Errorf("seed %d (%s): %s\nfaults: %v", seed, cause, broken, result.Faults)
		}
		if result.Answered["order 200"] == 0 || result.Answered["gather 200"] == 0 {
			t.Errorf("seed %d: nothing was served: %v", seed, result.Answered)
		}
	}
}
