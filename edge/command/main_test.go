package command

import (
	"os"
	"testing"
)

// runsCommand is the environment variable that makes the test binary run the command.
const runsCommand = "SAMPHIREBEAM_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runsCommand) != "" {
		Main()
		return
	}
	os.Exit(m.Run())
}
