package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/settings"
)

const validSettings = `instance = "entry-1"
data_centre = "perth"
caller_address = "10.0.0.1:5432"
peer_address = "10.0.0.1:7200"
operator_address = "10.0.0.1:7300"
platform_url = "http://10.0.0.9:8080"
token_key = "0123456789abcdef"
`

func TestMinimalSettingsGetDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.InstanceLimit() != 9 || s.Lease() <= 0 || s.ProbeInterval() <= 0 {
		t.Errorf("defaults: limit %d, lease %v, interval %v", s.InstanceLimit(), s.Lease(), s.ProbeInterval())
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	text := strings.Replace(validSettings, `peer_address = "10.0.0.1:7200"`, `peer_address = "host:7200"`, 1) +
		"probe_interval = \"2s\"\ninstance_limit = -1\ncolour = \"red\"\n[tls]\nrequire_caller = true\npeer_ca = \"ca.pem\"\n"
	_, err := settings.Parse([]byte(text))
	var errs contract.ValidationErrors
	if !errors.As(err, &errs) {
		t.Fatalf("Parse returned %v, want validation errors", err)
	}
	all := errs.Error()
	for _, want := range []string{"peer_address", "probe_interval", "instance_limit", "colour", "tls.require_caller", "tls.peer_cert", "line 4", "remedy"} {
		if !strings.Contains(all, want) {
			t.Errorf("%q is not among the validation errors:\n%s", want, all)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("instance = 1\n[tls\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse(text)
		if (s == nil) == (err == nil) {
			t.Fatalf("Parse returned %v and %v", s, err)
		}
	})
}
