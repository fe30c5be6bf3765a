package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store"
)

// Where the duty of promotions is recorded.
const (
	dutyTable = "monsoontiller"
	dutyKey   = "duty/promotion"
	// intentKey starts the keys of the promotions under way, one a group.
	intentKey = "intent/"
)

// intentRow records that a promotion of a group to a term may be under way.
type intentRow struct {
	Term uint64 `json:"term"`
	// UntilMs is when its order can no longer be given, on the store's clock.
	UntilMs int64 `json:"until_ms"`
}

// intentSlack is how long after the end of an intent its order may still take effect.
const intentSlack = 1500 * time.Millisecond

// promoting reports whether a promotion of a group past term may be under way, as of a snapshot of the duty's table.
func promoting(s store.Snapshot, name string, term group.Term) bool {
	row, ok := s.Row(intentKey + name)
	if !ok {
		return false
	}
	var intent intentRow
	if err := json.Unmarshal(row.Value, &intent); err != nil {
		// An intent that cannot be read may be one that is under way.
		return true
	}
	return group.Term(intent.Term) > term && s.Now < time.Duration(intent.UntilMs)*time.Millisecond+intentSlack
}

// dutyRow records who holds the duty.
type dutyRow struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// UntilMs is when the lease ends, on the store's clock.
	UntilMs int64 `json:"until_ms"`
}

// dutyConfig describes one instance's side of the duty.
type dutyConfig struct {
	Store store.Store
	Name  string
	Clock func() time.Time
}

// duty is the right to order promotions, which one instance holds at a time; it is safe for concurrent use.
//
// The lease ends on the store's clock for others, and sooner on the holder's own,
// which counts from before the transaction was sent. A token rises whenever the
// holder changes.
type duty struct {
	cfg dutyConfig
	// claiming lets one claim at a time read and write the row.
	claiming sync.Mutex
	mu       sync.Mutex
	token    uint64
	until    time.Time
}

func newDuty(cfg dutyConfig) *duty {
	if cfg.Clock == nil {
		cfg.Clock = clock.Now
	}
	return &duty{cfg: cfg}
}

// Held returns the token of the duty if this instance may order promotions now.
func (d *duty) Held() (token uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.token, d.cfg.Clock().Before(d.until)
}

// Claim takes or renews the duty for a promotion of a group to a term, which it records.
//
// It fails with KindConflict while another instance holds it, and with
// KindUnavailable when the store does not say who does.
func (d *duty) Claim(ctx context.Context, name string, term group.Term) error {
	d.claiming.Lock()
	defer d.claiming.Unlock()
	var err error
	for range claimTries {
		err = d.claim(ctx, name, term)
		if fault.KindOf(err) != fault.KindOutcomeUnknown && !isRace(err) {
			return err
		}
	}
	return err
}

// errRace marks a claim that met another writer and is weighed anew.
type errRace struct{ error }

func isRace(err error) bool {
	var race errRace
	return errors.As(err, &race)
}

// claim reads the row and writes it if it is free or this instance's own.
func (d *duty) claim(ctx context.Context, name string, term group.Term) error {
	sentAt := d.cfg.Clock()
	s, err := d.cfg.Store.All(ctx, dutyTable)
	if err != nil {
		return err
	}
	row, found := s.Row(dutyKey)
	var held dutyRow
	if found {
		if err := json.Unmarshal(row.Value, &held); err != nil {
			return fault.New(fault.Config{
				Kind:    fault.KindUnavailable,
				Message: "the row of the promotion duty cannot be read",
				Remedy:  "remove the row " + dutyKey + " of the table " + dutyTable,
				Cause:   err,
			})
		}
	}
	next := dutyRow{Holder: d.cfg.Name, Token: held.Token, UntilMs: (s.Now + dutyLease).Milliseconds()}
	switch {
	case held.Holder == d.cfg.Name:
	case found && s.Now.Milliseconds() < held.UntilMs:
		return fault.New(fault.Config{
			Kind:    fault.KindConflict,
			Message: held.Holder + " holds the duty of promotions",
			Remedy:  "nothing needs doing; it acts, or its lease runs out within seconds",
		})
	default:
		next.Token++
	}
	intent := intentRow{Term: uint64(term), UntilMs: next.UntilMs}
	return d.write(ctx, sentAt, row, next, store.Row{Table: dutyTable, Key: intentKey + name}, intent)
}

func (d *duty) write(ctx context.Context, sentAt time.Time, row store.Row, next dutyRow, intentRow store.Row, intent intentRow) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if intentRow.Value, err = json.Marshal(intent); err != nil {
		return err
	}
	_, err = d.cfg.Store.Commit(ctx, store.Tx{
		Expect:  []store.Row{{Table: dutyTable, Key: dutyKey, Version: row.Version}},
		Upserts: []store.Row{{Table: dutyTable, Key: dutyKey, Value: value}, intentRow},
	})
	if fault.KindOf(err) == fault.KindConflict {
		return errRace{err}
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.token = next.Token
	d.until = sentAt.Add(dutyLease - dutyMargin)
	return nil
}
