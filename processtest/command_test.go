package processtest

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestCommands runs the daemon's commands with good and bad settings.
func TestCommands(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	file := filepath.Join(t.TempDir(), "s.yaml")
	cases := []struct {
		name, settings string
		args           []string
		code           int
		want           []string
	}{
		{"version", "", []string{"version"}, 0, []string{"samphirebeamd"}},
		{"check", "host: h7\n", []string{"check", "-config", file}, 0, []string{"host: h7", "one_way_delay: 0s"}},
		{"no file", "", []string{"check", "-config", file + "x"}, 1, []string{"no such file"}},
		{
			"bad settings", "hots: a\nstop: {timeout: 5}\n",
			[]string{"run", "-config", file},
			1,
			[]string{"s.yaml:1: hots: unknown key", "s.yaml:2: stop.timeout"},
		},
		{
			"bad parameter", "policy: {hedger: {parameters: {quantile: '7'}}}\n",
			[]string{"check", "-config", file},
			1,
			[]string{"quantile"},
		},
		{"bad flag", "", []string{"run", "-shout"}, 1, []string{"shout"}},
		{"no command", "", nil, 2, []string{"USAGE"}},
		{"argument", "", []string{"version", "now"}, 0, []string{"samphirebeamd"}},
		{"address taken", "", []string{"run", "-peer-address", taken.Addr().String()}, 1, []string{"address already in use"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(c.settings), 0o600); err != nil {
				t.Fatal(err)
			}
			command := exec.Command(filepath.Join(binDir, "samphirebeamd"), c.args...)
			out, _ := command.CombinedOutput()
			if code := command.ProcessState.ExitCode(); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			for _, want := range c.want {
				if !strings.Contains(string(out), want) {
					t.Errorf("output lacks %q:\n%s", want, out)
				}
			}
		})
	}
}
