package table

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/membership"
)

// ConfigItem is a versioned configuration value.
type ConfigItem = membership.Item[membership.Entry]

const (
	sequenceKey   = "sequence"
	itemPrefix    = "item/"
	historyPrefix = "history/"
	logPrefix     = "log/"
)

// storedItem is the JSON representation of an item.
type storedItem struct {
	Key          string `json:"key"`
	Revision     uint64 `json:"revision"`
	Text         string `json:"text"`
	Author       string `json:"author"`
	RequestID    string `json:"request_id"`
	AcceptedUnix int64  `json:"accepted_unix"`
}

func (s storedItem) item() ConfigItem {
	return membership.NewItem(s.Key, membership.Revision(s.Revision), membership.NewEntry(membership.EntryConfig{
		Text:       s.Text,
		Author:     s.Author,
		RequestID:  s.RequestID,
		AcceptedAt: time.Unix(s.AcceptedUnix, 0),
	}))
}

func decodeItem(row Row) (ConfigItem, error) {
	var s storedItem
	if err := json.Unmarshal(row.value, &s); err != nil {
		return ConfigItem{}, fault.New(fault.Config{
			Kind:    fault.KindProtocol,
			Message: "row " + row.key + " of the platform's table cannot be decoded",
			Remedy:  "restore the row from the history rows of its key",
			Cause:   err,
		})
	}
	return s.item(), nil
}

// Configuration reads and changes items in the platform's table; it is not safe for concurrent use.
type Configuration struct {
	client   *Client
	sequence uint64
	loaded   bool
}

// NewConfiguration returns a configuration whose first Poll returns all items.
func NewConfiguration(client *Client) *Configuration {
	return &Configuration{client: client}
}

// Poll returns the items that changed since the last successful Poll, or all items if there was none.
//
// After a successful Poll, the caller has every change that was accepted before the call.
func (c *Configuration) Poll(ctx context.Context) ([]ConfigItem, error) {
	rows, err := c.client.Get(ctx, sequenceKey)
	if err != nil {
		return nil, err
	}
	sequence, err := sequenceOf(rows[0])
	if err != nil {
		return nil, err
	}
	if c.loaded && sequence == c.sequence {
		return nil, nil
	}
	items, err := c.changedItems(ctx)
	if err != nil {
		return nil, err
	}
	c.sequence = sequence
	c.loaded = true
	return items, nil
}

func sequenceOf(row Row) (uint64, error) {
	if row.version == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(row.value), 10, 64)
	if err != nil {
		return 0, fault.New(fault.Config{
			Kind:    fault.KindProtocol,
			Message: "the sequence row of the platform's table is not a number",
			Remedy:  "set it to the highest number among the log rows",
			Cause:   err,
		})
	}
	return n, nil
}

// changedItems returns the items of the log entries after c.sequence, or all items before the first successful Poll.
func (c *Configuration) changedItems(ctx context.Context) ([]ConfigItem, error) {
	if !c.loaded {
		rows, err := c.client.List(ctx, itemPrefix, "")
		if err != nil {
			return nil, err
		}
		return decodeItems(rows)
	}
	logged, err := c.client.List(ctx, logPrefix, logKey(c.sequence))
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, row := range logged {
		keys = append(keys, itemPrefix+string(row.value))
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := c.client.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return decodeItems(rows)
}

func decodeItems(rows []Row) ([]ConfigItem, error) {
	var out []ConfigItem
	for _, row := range rows {
		if row.version == 0 {
			continue
		}
		item, err := decodeItem(row)
		if err != nil {
			return nil, err
		}
		out = append(out, item)
	}
	return out, nil
}

func logKey(n uint64) string { return fmt.Sprintf("%s%020d", logPrefix, n) }

func historyKey(key string, revision membership.Revision) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, key, revision)
}

// Change is a request to replace revision Base of an item by a new one.
type Change struct {
	Key       string
	Text      string
	Base      membership.Revision
	RequestID string
	Author    string
	Now       time.Time
}

// acceptRetryDelay is the pause between attempts of Accept.
const acceptRetryDelay = 50 * time.Millisecond

// Accept writes the change as revision Base+1 and returns the accepted item.
//
// It is idempotent: if an earlier call with the same request id was accepted, it
// returns the revision that the earlier call wrote. It fails with KindConflict when the
// item is no longer at Base, with KindProtocol when a row cannot be decoded, with
// KindUnavailable when ctx ends before a transaction was sent, and with
// KindOutcomeUnknown when ctx ends after a transaction was sent without a
// definite result.
func (c *Configuration) Accept(ctx context.Context, change Change) (ConfigItem, error) {
	attempted := false
	for {
		item, done, err := c.acceptOnce(ctx, change, &attempted)
		if err == nil && done {
			return item, nil
		}
		if err != nil && fault.KindOf(err) != fault.KindUnavailable {
			return ConfigItem{}, err
		}
		select {
		case <-ctx.Done():
			return ConfigItem{}, acceptError(attempted, err)
		case <-time.After(acceptRetryDelay):
		}
	}
}

func acceptError(attempted bool, cause error) error {
	if !attempted {
		return fault.New(fault.Config{
			Kind:    fault.KindUnavailable,
			Message: "the change was not accepted, because the platform's table does not answer",
			Remedy:  "apply it again once the table answers",
			Cause:   cause,
		})
	}
	return fault.New(fault.Config{
		Kind:    fault.KindOutcomeUnknown,
		Message: "the table's answer was lost; the change may have been accepted",
		Remedy:  "repeat the request with the same request id: it takes effect at most once",
		Cause:   cause,
	})
}

// acceptOnce reads the item and attempts one transaction; it sets attempted before the transaction is sent.
func (c *Configuration) acceptOnce(ctx context.Context, change Change, attempted *bool) (ConfigItem, bool, error) {
	rows, err := c.client.Get(ctx, itemPrefix+change.Key, sequenceKey)
	if err != nil {
		return ConfigItem{}, false, err
	}
	item, found, err := c.findAccepted(ctx, rows[0], change)
	if err != nil || found {
		return item, found, err
	}
	sequence, err := sequenceOf(rows[1])
	if err != nil {
		return ConfigItem{}, false, err
	}
	stored := storedItem{
		Key:          change.Key,
		Revision:     uint64(change.Base) + 1,
		Text:         change.Text,
		Author:       change.Author,
		RequestID:    change.RequestID,
		AcceptedUnix: change.Now.Unix(),
	}
	*attempted = true
	committed, err := c.commit(ctx, rows, stored, sequence+1)
	return stored.item(), committed, err
}

// findAccepted returns false when the item in row is at the change's base revision.
//
// Otherwise it returns true with the revision that an earlier call with the same
// request id wrote, or fails with KindConflict when there is none.
func (c *Configuration) findAccepted(ctx context.Context, row Row, change Change) (ConfigItem, bool, error) {
	if row.version == 0 && change.Base == 0 {
		return ConfigItem{}, false, nil
	}
	var current ConfigItem
	if row.version != 0 {
		var err error
		if current, err = decodeItem(row); err != nil {
			return current, false, err
		}
	}
	if current.Revision() == change.Base {
		return current, false, nil
	}
	history, err := c.History(ctx, change.Key)
	if err != nil {
		return current, false, err
	}
	for _, item := range history {
		if change.RequestID != "" && item.Value().RequestID() == change.RequestID {
			return item, true, nil
		}
	}
	return current, false, fault.New(fault.Config{
		Kind:    fault.KindConflict,
		Message: fmt.Sprintf("%s is at revision %d by %s, not at %d; nothing was changed", change.Key, current.Revision(), current.Value().Author(), change.Base),
		Remedy:  "get the newest revision, make the edit there and apply it again",
	})
}

func (c *Configuration) commit(ctx context.Context, rows []Row, stored storedItem, sequence uint64) (bool, error) {
	value, err := json.Marshal(stored)
	if err != nil {
		return false, err
	}
	conditions := []Condition{
		{Key: rows[0].key, Version: rows[0].version},
		{Key: rows[1].key, Version: rows[1].version},
	}
	writes := []Write{
		{Key: rows[0].key, Value: value},
		{Key: rows[1].key, Value: []byte(strconv.FormatUint(sequence, 10))},
		{Key: historyKey(stored.Key, membership.Revision(stored.Revision)), Value: value},
		{Key: logKey(sequence), Value: []byte(stored.Key)},
	}
	return c.client.Transact(ctx, conditions, writes)
}

// History returns every revision of a key, oldest first.
func (c *Configuration) History(ctx context.Context, key string) ([]ConfigItem, error) {
	rows, err := c.client.List(ctx, historyPrefix+key+"/", "")
	if err != nil {
		return nil, err
	}
	return decodeItems(rows)
}

// TrimKeyPrefix returns key without prefix; ok is false when key does not start with prefix.
func TrimKeyPrefix(key, prefix string) (rest string, ok bool) { return strings.CutPrefix(key, prefix) }
