package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
)

// MaxBytes is the maximum length of a settings file.
const MaxBytes = 64 << 10

// TLS names the files of certificates and keys; all are optional.
type TLS struct {
	CallerCert    string `toml:"caller_cert"`
	CallerKey     string `toml:"caller_key"`
	RequireCaller bool   `toml:"require_caller"`
	EndpointCA    string `toml:"endpoint_ca"`
	PeerCert      string `toml:"peer_cert"`
	PeerKey       string `toml:"peer_key"`
	PeerCA        string `toml:"peer_ca"`
}

// file is the TOML form of the settings.
type file struct {
	Instance        string   `toml:"instance"`
	DataCentre      string   `toml:"data_centre"`
	CallerAddress   string   `toml:"caller_address"`
	PeerAddress     string   `toml:"peer_address"`
	OperatorAddress string   `toml:"operator_address"`
	PlatformURL     string   `toml:"platform_url"`
	TokenKey        string   `toml:"token_key"`
	InstanceLimit   int      `toml:"instance_limit"`
	Lease           string   `toml:"lease"`
	ProbeInterval   string   `toml:"probe_interval"`
	Peers           []string `toml:"peers"`
	TLS             TLS      `toml:"tls"`
}

// Settings holds the validated settings of one instance.
type Settings struct {
	file          file
	lease         time.Duration
	probeInterval time.Duration
}

// Instance returns the instance's name.
func (s *Settings) Instance() string { return s.file.Instance }

// DataCentre returns the instance's data centre.
func (s *Settings) DataCentre() string { return s.file.DataCentre }

// CallerAddress returns the address on which callers connect.
func (s *Settings) CallerAddress() string { return s.file.CallerAddress }

// PeerAddress returns the address on which other instances connect.
func (s *Settings) PeerAddress() string { return s.file.PeerAddress }

// OperatorAddress returns the address on which operators connect.
func (s *Settings) OperatorAddress() string { return s.file.OperatorAddress }

// PlatformURL returns the URL of the platform's service.
func (s *Settings) PlatformURL() string { return s.file.PlatformURL }

// TokenKey returns the fleet's secret key for session tokens; it must not be logged.
func (s *Settings) TokenKey() string { return s.file.TokenKey }

// InstanceLimit returns the maximum number of instances, among which the connections to each endpoint are divided.
func (s *Settings) InstanceLimit() int { return s.file.InstanceLimit }

// Lease returns how long a primary may be used after it was confirmed.
func (s *Settings) Lease() time.Duration { return s.lease }

// ProbeInterval returns the interval between probes of a member's status.
func (s *Settings) ProbeInterval() time.Duration { return s.probeInterval }

// Peers returns the peer addresses through which the instance joins the fleet, even while the platform is unavailable.
func (s *Settings) Peers() []string { return append([]string(nil), s.file.Peers...) }

// TLS returns the files of certificates and keys.
func (s *Settings) TLS() TLS { return s.file.TLS }

// Defaults and bounds.
const (
	defaultInstanceLimit = 9
	maxInstanceLimit     = 4095 // the process ID of a session has 12 bits for the instance's seat
	defaultLease         = 500 * time.Millisecond
	defaultProbeInterval = 100 * time.Millisecond
	maxLease             = 3 * time.Second
	minProbeInterval     = 10 * time.Millisecond
	minProbesPerLease    = 3
	minTokenKeyBytes     = 16
)

// Load reads and validates a settings file; it fails with KindInvalid, with the validation errors as the cause.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.KindInvalid,
			Message: "the settings file cannot be read",
			Remedy:  "specify a readable file with --settings",
			Cause:   err,
		})
	}
	return Parse(text)
}

// Parse validates the settings in text; it fails with KindInvalid, with the validation errors as the cause.
func Parse(text []byte) (*Settings, error) {
	c := &checker{text: text}
	s := &Settings{}
	if len(text) > MaxBytes {
		c.addError("settings", "longer than 64 KiB", "keep the settings of one instance in one file")
		return nil, c.err()
	}
	c.errs = contract.DecodeStrict(text, &s.file)
	c.check(s)
	if len(c.errs) > 0 {
		return nil, c.err()
	}
	return s, nil
}

// checker validates settings and collects the validation errors.
type checker struct {
	text []byte
	errs contract.ValidationErrors
}

func (c *checker) err() error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: fmt.Sprintf("the settings have %d validation errors", len(c.errs)),
		Remedy:  "correct each reported line and start the instance again",
		Cause:   c.errs,
	})
}

func (c *checker) addError(key, message, remedy string) {
	c.errs = append(c.errs, contract.NewValidationError(key, contract.LineOf(c.text, key), message, remedy))
}

func (c *checker) check(s *Settings) {
	f := &s.file
	c.required("instance", f.Instance, "give each instance a unique name")
	c.required("data_centre", f.DataCentre, "set it to the data centre that the instance runs in")
	c.address("caller_address", f.CallerAddress)
	c.address("peer_address", f.PeerAddress)
	c.address("operator_address", f.OperatorAddress)
	c.url("platform_url", f.PlatformURL)
	if len(f.TokenKey) < minTokenKeyBytes {
		c.addError("token_key", "missing or shorter than 16 bytes", "set the same random text on every instance")
	}
	if f.InstanceLimit == 0 {
		f.InstanceLimit = defaultInstanceLimit
	}
	if f.InstanceLimit < 1 || f.InstanceLimit > maxInstanceLimit {
		c.addError("instance_limit", "out of range", "use 1 to 4095, the same on every instance")
	}
	s.lease = c.duration("lease", f.Lease, defaultLease)
	s.probeInterval = c.duration("probe_interval", f.ProbeInterval, defaultProbeInterval)
	if s.lease > maxLease {
		c.addError("lease", "longer than 3s", "use at most 3s, the same on every instance")
	}
	if s.probeInterval < minProbeInterval || minProbesPerLease*s.probeInterval > s.lease {
		c.addError("probe_interval", "not between 10ms and a third of lease", "remove it, or set a value in that range")
	}
	for _, p := range f.Peers {
		c.address("peers", p)
	}
	c.checkTLS(f)
}

func (c *checker) checkTLS(f *file) {
	t := f.TLS
	if (t.CallerCert == "") != (t.CallerKey == "") {
		c.addError("tls.caller_cert", "certificate without key, or key without certificate", "set caller_cert and caller_key together")
	}
	if t.RequireCaller && t.CallerCert == "" {
		c.addError("tls.require_caller", "set without a certificate for callers", "set caller_cert and caller_key")
	}
	count := 0
	for _, name := range []string{t.PeerCert, t.PeerKey, t.PeerCA} {
		if name != "" {
			count++
		}
	}
	if count != 0 && count != 3 {
		c.addError("tls.peer_cert", "peers need a certificate, a key and a certificate authority", "set peer_cert, peer_key and peer_ca together")
	}
}

func (c *checker) required(key, value, remedy string) {
	if value == "" {
		c.addError(key, "missing", remedy)
	}
}

func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		c.addError(key, fmt.Sprintf("%q is not IP:port", value), `write it like "10.0.0.1:5432"`)
	}
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addError(key, fmt.Sprintf("%q is not an HTTP URL", value), `write it like "http://10.0.0.9:8080"`)
	}
}

func (c *checker) duration(key, value string, fallback time.Duration) time.Duration {
	if value == "" {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		c.addError(key, fmt.Sprintf("%q is not a positive duration", value), `write it like "500ms"`)
		return fallback
	}
	return d
}
