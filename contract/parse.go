package contract

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/scram"
)

// MaxBytes is the maximum length of a contract text.
const MaxBytes = 64 << 10

// document is the TOML form of a contract.
type document struct {
	Customer   string             `toml:"customer"`
	Drain      string             `toml:"drain_timeout"`
	Databases  []documentDatabase `toml:"database"`
	Limits     documentLimits     `toml:"limits"`
	Reads      documentReads      `toml:"reads"`
	Writes     documentWrites     `toml:"writes"`
	Retries    documentRetries    `toml:"retries"`
	Objectives documentObjectives `toml:"objectives"`
}

type documentDatabase struct {
	Name     string `toml:"name"`
	Group    string `toml:"group"`
	User     string `toml:"user"`
	Password string `toml:"password"`
	Verifier string `toml:"verifier"`
}

type documentLimits struct {
	Callers        *int   `toml:"callers"`
	QueueLength    *int   `toml:"queue_length"`
	QueueTimeout   string `toml:"queue_timeout"`
	RequestTimeout string `toml:"request_timeout"`
	IdleCheck      string `toml:"idle_check"`
	TxIdle         string `toml:"transaction_idle"`
}

type documentReads struct {
	Default      string `toml:"default"`
	MaxStaleness string `toml:"max_staleness"`
	ReplicaWait  string `toml:"replica_wait"`
}

type documentWrites struct {
	Replication string `toml:"replication"`
	Wait        string `toml:"replication_wait"`
}

type documentRetries struct {
	Ratio     *float64 `toml:"ratio"`
	PerSecond *float64 `toml:"per_second"`
	First     string   `toml:"first_backoff"`
	Max       string   `toml:"max_backoff"`
}

type documentObjectives struct {
	Success      *float64 `toml:"success"`
	ReplicaShare *float64 `toml:"replica_share"`
	Latency      string   `toml:"latency"`
	FailoverGap  string   `toml:"failover_gap"`
}

// Defaults and bounds of the settings.
const (
	defaultCallers         = 10_000
	defaultQueueLength     = 1_000
	defaultQueueTimeout    = 5 * time.Second
	defaultRequestTimeout  = 30 * time.Second
	defaultIdleCheck       = time.Second
	defaultTxIdle          = time.Minute
	defaultReplicaWait     = 25 * time.Millisecond
	defaultReplicationWait = 2 * time.Second
	defaultRetryRatio      = 0.1
	defaultRetryPerSecond  = 10
	defaultFirstBackoff    = 10 * time.Millisecond
	defaultMaxBackoff      = 500 * time.Millisecond
	defaultDrainTimeout    = 30 * time.Second
	defaultSuccess         = 0.999
	defaultReplicaShare    = 0.8
	defaultLatency         = 250 * time.Millisecond
	defaultFailoverGap     = 9 * time.Second
	maxCount               = 1_000_000
	maxDuration            = time.Hour
)

// ValidationError describes an invalid key or value of a contract or settings text.
type ValidationError struct {
	key     string
	line    int
	message string
	remedy  string
}

// NewValidationError returns a validation error of key; line is 0 if it is not known.
func NewValidationError(key string, line int, message, remedy string) ValidationError {
	return ValidationError{key: key, line: line, message: message, remedy: remedy}
}

// String returns the error with its line, key and remedy, on one line.
func (e ValidationError) String() string {
	return fmt.Sprintf("line %d: %s: %s (remedy: %s)", e.line, e.key, e.message, e.remedy)
}

// ValidationErrors is a list of validation errors, and is itself an error.
type ValidationErrors []ValidationError

// Error returns the validation errors, one per line.
func (errs ValidationErrors) Error() string {
	lines := make([]string, 0, len(errs))
	for _, e := range errs {
		lines = append(lines, e.String())
	}
	return strings.Join(lines, "\n")
}

// Parse returns the contract in text; it fails with KindInvalid, with the ValidationErrors as the cause.
func Parse(text []byte) (*Contract, error) {
	if len(text) > MaxBytes {
		return nil, invalid(ValidationErrors{{key: "contract", message: "longer than 64 KiB", remedy: "split it into one contract per customer"}})
	}
	var doc document
	errs := DecodeStrict(text, &doc)
	p := &parser{text: text, errs: errs}
	c := p.contract(doc)
	if len(p.errs) > 0 {
		return nil, invalid(p.errs)
	}
	return c, nil
}

func invalid(errs ValidationErrors) error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: fmt.Sprintf("the contract has %d validation errors", len(errs)),
		Remedy:  "correct each reported line and apply the contract again",
		Cause:   errs,
	})
}

// DecodeStrict decodes TOML into target; it returns unknown keys and wrong types as validation errors.
func DecodeStrict(text []byte, target any) ValidationErrors {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(target)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(strict)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return ValidationErrors{{key: strings.Join(decode.Key(), "."), line: line, message: decode.Error(), remedy: "write the value in the form that docs/OPERATIONS.md shows"}}
	}
	return ValidationErrors{{key: "text", message: err.Error(), remedy: "write valid TOML"}}
}

func unknownKeys(strict *toml.StrictMissingError) ValidationErrors {
	var out ValidationErrors
	for _, e := range strict.Errors {
		line, _ := e.Position()
		out = append(out, ValidationError{
			key:     strings.Join(e.Key(), "."),
			line:    line,
			message: "unknown key",
			remedy:  "remove it or correct its spelling",
		})
	}
	return out
}

// parser converts a document into a contract and collects the validation errors.
type parser struct {
	text []byte
	errs ValidationErrors
}

func (p *parser) addError(key, message, remedy string) {
	p.errs = append(p.errs, ValidationError{key: key, line: LineOf(p.text, key), message: message, remedy: remedy})
}

// LineOf returns the number of the first line in a TOML text that sets the last part of a dotted key, or 0.
func LineOf(text []byte, key string) int {
	name := key[strings.LastIndexByte(key, '.')+1:]
	for i, line := range strings.Split(string(text), "\n") {
		lineKey, _, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(lineKey) == name {
			return i + 1
		}
	}
	return 0
}

func (p *parser) contract(doc document) *Contract {
	if !validName(doc.Customer) {
		p.addError("customer", "missing or not a valid name", "use lower-case letters, digits, - and _, at most 63")
	}
	c := &Contract{
		customer: doc.Customer,
		drain:    p.duration("drain_timeout", doc.Drain, defaultDrainTimeout),
		limits: Limits{
			callers:        p.count("limits.callers", doc.Limits.Callers, defaultCallers),
			queueLength:    p.count("limits.queue_length", doc.Limits.QueueLength, defaultQueueLength),
			queueTimeout:   p.duration("limits.queue_timeout", doc.Limits.QueueTimeout, defaultQueueTimeout),
			requestTimeout: p.duration("limits.request_timeout", doc.Limits.RequestTimeout, defaultRequestTimeout),
			idleCheck:      p.duration("limits.idle_check", doc.Limits.IdleCheck, defaultIdleCheck),
			txIdle:         p.duration("limits.transaction_idle", doc.Limits.TxIdle, defaultTxIdle),
		},
		reads: Reads{
			defaultRead:  p.defaultRead(doc.Reads.Default),
			maxStaleness: p.duration("reads.max_staleness", doc.Reads.MaxStaleness, 0),
			replicaWait:  p.duration("reads.replica_wait", doc.Reads.ReplicaWait, defaultReplicaWait),
		},
		writes:     p.writes(doc.Writes),
		retries:    p.retries(doc.Retries),
		objectives: p.objectives(doc.Objectives),
	}
	p.databases(c, doc.Databases)
	if c.limits.queueTimeout > c.limits.requestTimeout {
		p.addError("limits.queue_timeout", "longer than request_timeout", "set it to at most request_timeout")
	}
	return c
}

func (p *parser) databases(c *Contract, databases []documentDatabase) {
	if len(databases) == 0 {
		p.addError("database", "no database", "add a [[database]] table with name and group")
	}
	seen := map[string]bool{}
	for _, d := range databases {
		if !validName(d.Name) {
			p.addError("name", "missing or not a valid name", "use lower-case letters, digits, - and _, at most 63")
		}
		if !validName(d.Group) {
			p.addError("group", "missing or not a valid name", "use the name of a database group of the platform")
		}
		if seen[d.Name] {
			p.addError("name", "database "+d.Name+" is listed twice", "remove one of the two")
		}
		seen[d.Name] = true
		c.databases = append(c.databases, p.database(d))
	}
}

func (p *parser) database(d documentDatabase) Database {
	out := Database{name: d.Name, group: d.Group, user: d.User, password: d.Password}
	if out.user == "" {
		out.user = "monsoontiller"
	}
	if d.Verifier == "" {
		return out
	}
	v, err := scram.ParseVerifier(d.Verifier)
	if err != nil {
		p.addError("verifier", "malformed", "create one with `monsoontiller verifier`")
		return out
	}
	out.verifier = v
	out.hasVerifier = true
	return out
}

func (p *parser) retries(doc documentRetries) Retries {
	r := Retries{
		ratio:     p.share("retries.ratio", doc.Ratio, defaultRetryRatio),
		perSecond: defaultRetryPerSecond,
		first:     p.duration("retries.first_backoff", doc.First, defaultFirstBackoff),
		max:       p.duration("retries.max_backoff", doc.Max, defaultMaxBackoff),
	}
	if doc.PerSecond != nil {
		r.perSecond = *doc.PerSecond
	}
	if !(r.perSecond >= 0 && r.perSecond <= maxCount) {
		p.addError("retries.per_second", "out of range", "use 0 to 1000000")
	}
	if r.first > r.max {
		p.addError("retries.first_backoff", "longer than max_backoff", "set it to at most max_backoff")
	}
	return r
}

func (p *parser) writes(doc documentWrites) Writes {
	w := Writes{wait: p.duration("writes.replication_wait", doc.Wait, defaultReplicationWait)}
	switch doc.Replication {
	case "", "wait":
		w.replication = ReplicationWait
	case "required":
		w.replication = ReplicationRequired
	case "off":
		w.replication = ReplicationOff
	default:
		p.addError("writes.replication", "not a replication rule", `use "wait", "required" or "off"`)
	}
	return w
}

func (p *parser) objectives(doc documentObjectives) Objectives {
	return Objectives{
		success:      p.share("objectives.success", doc.Success, defaultSuccess),
		replicaShare: p.share("objectives.replica_share", doc.ReplicaShare, defaultReplicaShare),
		latency:      p.duration("objectives.latency", doc.Latency, defaultLatency),
		failoverGap:  p.duration("objectives.failover_gap", doc.FailoverGap, defaultFailoverGap),
	}
}

func (p *parser) defaultRead(text string) bool {
	switch text {
	case "", "write":
		return false
	case "read":
		return true
	}
	p.addError("reads.default", "not a statement class", `use "write" or "read"`)
	return false
}

func (p *parser) duration(key, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDuration {
		p.addError(key, fmt.Sprintf("%q is not a duration in (0, 1h]", text), `write it like "250ms" or "5s"`)
		return fallback
	}
	return d
}

func (p *parser) count(key string, value *int, fallback int) int {
	if value == nil {
		return fallback
	}
	if *value < 1 || *value > maxCount {
		p.addError(key, "out of range", "use 1 to 1000000")
	}
	return *value
}

func (p *parser) share(key string, value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	if math.IsNaN(*value) || *value < 0 || *value > 1 {
		p.addError(key, "out of range", "use a number from 0 to 1")
	}
	return *value
}

const maxNameLength = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		ok := r == '-' || r == '_' || (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9')
		if !ok {
			return false
		}
	}
	return true
}
