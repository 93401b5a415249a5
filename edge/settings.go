package edge

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"
)

// Settings are the settings that belong to the host itself. Those of its
// environment, such as addresses and limits, come from the platform.
type Settings struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// AnswerMargin is how long before a route's target latency a gather is
	// answered with the parts that have arrived. It covers the network time from
	// and to callers.
	AnswerMargin time.Duration `yaml:"answer_margin"`
	// RelayParts makes a gather send its parts through hosts in the upstreams'
	// failure domains, one message for each such host.
	RelayParts bool `yaml:"relay_parts"`
	// AssumedHosts is the number of hosts by which the tier's budgets are divided
	// until the number of hosts is known.
	AssumedHosts int `yaml:"assumed_hosts"`
	// UpstreamCapacity is learned if requests are bounded and placed by how much
	// load each upstream was seen to handle well, and off otherwise.
	UpstreamCapacity string `yaml:"upstream_capacity"`
	// MetricsPort is the port of /metrics on the host's address; 0 disables it.
	MetricsPort int `yaml:"metrics_port"`
	// GarbagePercent is how much the heap may grow between two garbage
	// collections, in percent of the live heap (GOGC).
	GarbagePercent int `yaml:"garbage_percent"`
}

// The values of Settings.UpstreamCapacity.
const (
	CapacityOff     = "off"
	CapacityLearned = "learned"
)

// DefaultSettings returns the settings that apply without a settings file.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:         "info",
		AnswerMargin:     12 * time.Millisecond,
		RelayParts:       true,
		AssumedHosts:     32,
		UpstreamCapacity: CapacityOff,
		MetricsPort:      7390,
		GarbagePercent:   400,
	}
}

// ReadSettings reads a YAML file over the defaults. Unknown keys are errors.
func ReadSettings(path string) (Settings, error) {
	s := DefaultSettings()
	if path == "" {
		return s, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrap(err, "settings")
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return s, eris.Wrap(err, "settings "+path)
	}
	return s, s.Check()
}

// Check returns an error for the first setting with an invalid value.
func (s Settings) Check() error {
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return eris.Wrap(err, "log_level")
	}
	switch {
	case s.AnswerMargin < 0:
		return eris.New("answer_margin: must not be negative")
	case s.AssumedHosts < 1:
		return eris.New("assumed_hosts: must be at least 1")
	case s.UpstreamCapacity != CapacityOff && s.UpstreamCapacity != CapacityLearned:
		return eris.New("upstream_capacity: must be off or learned")
	case s.MetricsPort < 0 || s.MetricsPort > 65535:
		return eris.New("metrics_port: must be a port, or 0")
	case s.GarbagePercent < 10:
		return eris.New("garbage_percent: must be at least 10")
	}
	return nil
}

// YAML returns the settings in the format of the settings file.
func (s Settings) YAML() ([]byte, error) {
	data, err := yaml.Marshal(s)
	return data, eris.Wrap(err, "print settings")
}
