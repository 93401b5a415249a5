package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// key describes one setting: its path in the file, its help text and its value.
type key struct {
	path  string // "peer.address"
	help  string
	value value
}

// value parses one setting from text and formats it.
type value interface {
	Set(text string) error
	String() string
}

// flagName returns the key's name on the command line, such as "peer-address".
func (k key) flagName() string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(k.path)
}

// keys lists all settings in the order in which they are printed.
func (s *Settings) keys() []key {
	keys := []key{
		{"host", "name of this host", (*text)(&s.Host)},
		{"failure_domain", "failure domain in which it stands", (*text)(&s.FailureDomain)},
		{"cell", "lease table to which it belongs", (*text)(&s.Cell)},
		{"seed", "seed of random choices; 0 draws one", (*unsigned)(&s.Seed)},
		{"peer.address", "ip:port to listen on for other hosts", (*text)(&s.Peer.Address)},
		{"peer.advertise", "ip:port that other hosts connect to; peer.address when empty", (*text)(&s.Peer.Advertise)},
		{"peer.seeds", "hosts to begin with, as host=ip:port", (*list)(&s.Peer.Seeds)},
		{"peer.queue", "messages that wait for one peer", (*count)(&s.Peer.Queue)},
		{"peer.batch", "messages in one batch", (*count)(&s.Peer.Batch)},
		{"peer.connect_timeout", "bound of opening a stream", (*duration)(&s.Peer.ConnectTimeout)},
		{"peer.backoff_min", "first wait between attempts to connect", (*duration)(&s.Peer.BackoffMin)},
		{"peer.backoff_max", "longest wait between attempts to connect", (*duration)(&s.Peer.BackoffMax)},
		{"peer.one_way_delay", "delay put on messages, for measurements only", (*duration)(&s.Peer.OneWayDelay)},
		{"peer.tls.certificate", "PEM file of this host's certificate", (*text)(&s.Peer.TLS.Certificate)},
		{"peer.tls.key", "PEM file of its key", (*text)(&s.Peer.TLS.Key)},
		{"peer.tls.authority", "PEM file of the authority of all hosts", (*text)(&s.Peer.TLS.Authority)},
		{"caller.address", "ip:port of the caller API", (*text)(&s.Caller.Address)},
		{"caller.max_body_bytes", "largest request body", (*size)(&s.Caller.MaxBodyBytes)},
		{"caller.max_deadline", "longest deadline of a request", (*duration)(&s.Caller.MaxDeadline)},
		{"caller.max_limit", "most results of a request", (*count)(&s.Caller.MaxLimit)},
		{"caller.grace", "wait for a reply past its deadline", (*duration)(&s.Caller.Grace)},
		{"operator.address", "ip:port of the resource API", (*text)(&s.Operator.Address)},
		{"admin.address", "ip:port of metrics, health and status", (*text)(&s.Admin.Address)},
		{"admin.pprof", "serve profiles on the admin address, which must be loopback", (*toggle)(&s.Admin.Pprof)},
		{"platform.url", "base URL of the platform's object API", (*text)(&s.Platform.URL)},
		{"platform.timeout", "bound of a platform call that states none", (*duration)(&s.Platform.Timeout)},
		{"platform.watch_timeout", "how long one watch call waits", (*duration)(&s.Platform.WatchTimeout)},
		{"upstream.connect_timeout", "bound of opening a connection", (*duration)(&s.Upstream.ConnectTimeout)},
		{"upstream.max_body_bytes", "largest answer body", (*size)(&s.Upstream.MaxBodyBytes)},
	}
	keys = append(keys, s.policyKeys()...)
	return append(
		keys,
		key{"policy.extra_load", "most hedges and retries, as a fraction of sub-queries", (*fraction)(&s.Policy.ExtraLoad)},
		key{"policy.unshared", "act alone, without shares: the naive baseline of measurements", (*toggle)(&s.Policy.Unshared)},
		key{"ring.inbox", "events that wait for the decision duty", (*count)(&s.Ring.Inbox)},
		key{"ring.platform", "calls that wait for the platform duty", (*count)(&s.Ring.Platform)},
		key{"ring.records", "records that wait for the log", (*count)(&s.Ring.Records)},
		key{"stop.timeout", "bound of the planned stop", (*duration)(&s.Stop.Timeout)},
		key{"stop.linger", "how long callers are still refused politely after that", (*duration)(&s.Stop.Linger)},
		key{"log.level", "debug, info, warn or error", (*text)(&s.Log.Level)},
	)
}

func (s *Settings) policyKeys() []key {
	policies := []struct {
		name   string
		policy *Policy
	}{
		{"router", &s.Policy.Router},
		{"hedger", &s.Policy.Hedger},
		{"admission", &s.Policy.Admission},
		{"limiter", &s.Policy.Limiter},
	}
	var keys []key
	for _, p := range policies {
		path := "policy." + p.name
		keys = append(
			keys,
			key{path + ".name", "name of the plug-in", (*text)(&p.policy.Name)},
			key{path + ".parameters", "its parameters, as name=value", (*pairs)(&p.policy.Parameters)},
		)
	}
	return keys
}

type (
	text     string
	unsigned uint64
	count    int
	size     int64
	duration time.Duration
	toggle   bool
	fraction float64
	list     []string
	pairs    map[string]string
)

// Set accepts any text.
func (v *text) Set(s string) error {
	*v = text(s)
	return nil
}

// String returns the text form that Set accepts.
func (v *text) String() string { return string(*v) }

// Set accepts a whole number of at least 0.
func (v *unsigned) Set(s string) error {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return fmt.Errorf("%q is not a whole number from 0", s)
	}
	*v = unsigned(n)
	return nil
}

// String returns the text form that Set accepts.
func (v *unsigned) String() string { return strconv.FormatUint(uint64(*v), 10) }

// Set accepts a whole number.
func (v *count) Set(s string) error {
	n, err := strconv.ParseInt(s, 10, 32)
	if err != nil {
		return fmt.Errorf("%q is not a whole number", s)
	}
	*v = count(n)
	return nil
}

// String returns the text form that Set accepts.
func (v *count) String() string { return strconv.Itoa(int(*v)) }

// Set accepts a whole number of bytes.
func (v *size) Set(s string) error {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return fmt.Errorf("%q is not a whole number of bytes", s)
	}
	*v = size(n)
	return nil
}

// String returns the text form that Set accepts.
func (v *size) String() string { return strconv.FormatInt(int64(*v), 10) }

// Set accepts a duration with its unit.
func (v *duration) Set(s string) error {
	d, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q is not a time with its unit, as in 250ms", s)
	}
	*v = duration(d)
	return nil
}

// String returns the text form that Set accepts.
func (v *duration) String() string { return time.Duration(*v).String() }

// Set accepts true or false.
func (v *toggle) Set(s string) error {
	on, err := strconv.ParseBool(s)
	if err != nil {
		return fmt.Errorf("%q is not true or false", s)
	}
	*v = toggle(on)
	return nil
}

// String returns the text form that Set accepts.
func (v *toggle) String() string { return strconv.FormatBool(bool(*v)) }

// IsBoolFlag makes the flag's value optional, as package flag defines it.
func (v *toggle) IsBoolFlag() bool { return true }

// Set accepts a decimal number.
func (v *fraction) Set(s string) error {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) {
		return fmt.Errorf("%q is not a decimal number", s)
	}
	*v = fraction(f)
	return nil
}

// String returns the text form that Set accepts.
func (v *fraction) String() string { return strconv.FormatFloat(float64(*v), 'g', -1, 64) }

// Set accepts items separated by commas.
func (v *list) Set(s string) error {
	*v = nil
	for _, item := range strings.Split(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			*v = append(*v, item)
		}
	}
	return nil
}

// String returns the text form that Set accepts.
func (v *list) String() string { return strings.Join(*v, ",") }

// Set accepts name=value items separated by commas.
func (v *pairs) Set(s string) error {
	parsed := map[string]string{}
	var items list
	_ = items.Set(s)
	for _, item := range items {
		name, value, found := strings.Cut(item, "=")
		if !found {
			return fmt.Errorf("%q is not name=value", item)
		}
		parsed[name] = value
	}
	*v = parsed
	return nil
}

// String returns the text form that Set accepts.
func (v *pairs) String() string {
	var items []string
	for _, name := range slices.Sorted(maps.Keys(*v)) {
		items = append(items, name+"="+(*v)[name])
	}
	return strings.Join(items, ",")
}
