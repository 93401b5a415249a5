package resource

import "time"

// Duration is a time.Duration written as text with its unit, such as "30s".
type Duration time.Duration

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
