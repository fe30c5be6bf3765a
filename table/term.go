package table

import (
	"context"
	"encoding/json"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

const termPrefix = "term/"

// storedTerm is the JSON representation of a group's newest claimed term; Primary is empty until PublishTerm.
type storedTerm struct {
	Term    uint64 `json:"term"`
	Attempt string `json:"attempt"`
	Primary string `json:"primary"`
}

// ClaimTerm claims term for attempt, unless the table holds that term or a higher one for another attempt.
//
// The result is ClaimWon with term, ClaimTaken with the term that the table holds,
// or ClaimUnavailable. After a lost answer it reads the row again: the claim was
// recorded if the row names attempt.
func (c *Client) ClaimTerm(ctx context.Context, groupName string, term group.Term, attempt string) (failover.ClaimOutcome, group.Term) {
	const maxAttempts = 2
	for range maxAttempts {
		stored, version, err := c.term(ctx, groupName)
		if err != nil {
			continue
		}
		if stored.Attempt == attempt {
			return failover.ClaimWon, term
		}
		if group.Term(stored.Term) >= term {
			return failover.ClaimTaken, group.Term(stored.Term)
		}
		committed, err := c.putTerm(ctx, groupName, version, storedTerm{Term: uint64(term), Attempt: attempt})
		if err == nil && committed {
			return failover.ClaimWon, term
		}
	}
	return failover.ClaimUnavailable, 0
}

// PublishTerm records the primary of term, unless the table holds a higher term or the row changes concurrently; neither
// is an error.
func (c *Client) PublishTerm(ctx context.Context, groupName string, term group.Term, primary string) error {
	stored, version, err := c.term(ctx, groupName)
	if err != nil || group.Term(stored.Term) > term {
		return err
	}
	stored.Term = uint64(term)
	stored.Primary = primary
	_, err = c.putTerm(ctx, groupName, version, stored)
	return err
}

func (c *Client) term(ctx context.Context, groupName string) (storedTerm, uint64, error) {
	var stored storedTerm
	rows, err := c.Get(ctx, termPrefix+groupName)
	if err != nil {
		return stored, 0, err
	}
	if rows[0].version == 0 {
		return stored, 0, nil
	}
	err = json.Unmarshal(rows[0].value, &stored)
	return stored, rows[0].version, err
}

func (c *Client) putTerm(ctx context.Context, groupName string, version uint64, t storedTerm) (bool, error) {
	value, err := json.Marshal(t)
	if err != nil {
		return false, err
	}
	key := termPrefix + groupName
	return c.Transact(ctx, []Condition{{Key: key, Version: version}}, []Write{{Key: key, Value: value}})
}
