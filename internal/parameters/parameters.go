// Package parameters parses the parameters of a plug-in strictly: an unknown
// name, a value that does not parse and a value out of bounds are errors.
package parameters

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Reader parses parameters by name and keeps the first error.
type Reader struct {
	policy string
	unread map[string]string
	err    error
}

// Read returns a Reader over the parameters of the named policy.
func Read(policy string, values map[string]string) *Reader {
	return &Reader{policy: policy, unread: maps.Clone(values)}
}

// Duration returns a duration such as "5ms", or the default if it is not set.
func (r *Reader) Duration(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	return read(r, name, defaultValue, minimum, maximum, time.ParseDuration)
}

// Float returns a decimal number, or the default if it is not set.
func (r *Reader) Float(name string, defaultValue, minimum, maximum float64) float64 {
	parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	return read(r, name, defaultValue, minimum, maximum, parse)
}

// Int returns an integer, or the default if it is not set.
func (r *Reader) Int(name string, defaultValue, minimum, maximum int) int {
	return read(r, name, defaultValue, minimum, maximum, strconv.Atoi)
}

// Err returns the first error. Parameters that have not been read by now are
// unknown, which is an error too. Call it after all other methods.
func (r *Reader) Err() error {
	if r.err == nil && len(r.unread) > 0 {
		unknown := slices.Sorted(maps.Keys(r.unread))
		r.fail("unknown parameter %s", strings.Join(unknown, ", "))
	}
	return r.err
}

func (r *Reader) fail(format string, args ...any) {
	if r.err == nil {
		detail := core.Errorf(core.InvalidRequest, format, args...)
		r.err = core.Errorf(core.InvalidRequest, "policy %s: %s", r.policy, detail.Detail)
	}
}

func read[T cmp.Ordered](r *Reader, name string, defaultValue, minimum, maximum T, parse func(string) (T, error)) T {
	text, given := r.unread[name]
	delete(r.unread, name)
	if !given {
		return defaultValue
	}
	value, err := parse(text)
	if err != nil {
		r.fail("%s: %v", name, err)
		return defaultValue
	}
	// Negated so that NaN, for which every comparison is false, is rejected.
	if !(value >= minimum && value <= maximum) { //nolint:gocritic,staticcheck // see above
		r.fail("%s: %v is not between %v and %v", name, value, minimum, maximum)
		return defaultValue
	}
	return value
}
