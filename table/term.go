package table

import (
	"context"
	"encoding/json"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

const termPrefix = "term/"

// storedTerm is the JSON form of the newest claim of a group.
type storedTerm struct {
	Term    uint64 `json:"term"`
	Attempt string `json:"attempt"`
	Primary string `json:"primary"`
}

// ClaimTerm records that attempt goes for term, unless the table has that term or a higher one for another attempt.
//
// A lost answer is resolved by reading back the attempt.
func (c *Client) ClaimTerm(ctx context.Context, groupName string, term group.Term, attempt string) (failover.ClaimOutcome, group.Term) {
	const tries = 2
	for range tries {
		held, version, err := c.term(ctx, groupName)
		if err != nil {
			continue
		}
		if held.Attempt == attempt {
			return failover.ClaimWon, term
		}
		if group.Term(held.Term) >= term {
			return failover.ClaimTaken, group.Term(held.Term)
		}
		committed, err := c.putTerm(ctx, groupName, version, storedTerm{Term: uint64(term), Attempt: attempt})
		if err == nil && committed {
			return failover.ClaimWon, term
		}
	}
	return failover.ClaimUnavailable, 0
}

// PublishTerm records the primary of term; a higher term in the table stays.
func (c *Client) PublishTerm(ctx context.Context, groupName string, term group.Term, primary string) error {
	held, version, err := c.term(ctx, groupName)
	if err != nil || group.Term(held.Term) > term {
		return err
	}
	held.Term = uint64(term)
	held.Primary = primary
	_, err = c.putTerm(ctx, groupName, version, held)
	return err
}

func (c *Client) term(ctx context.Context, groupName string) (storedTerm, uint64, error) {
	var held storedTerm
	rows, err := c.Get(ctx, termPrefix+groupName)
	if err != nil {
		return held, 0, err
	}
	if rows[0].version == 0 {
		return held, 0, nil
	}
	err = json.Unmarshal(rows[0].value, &held)
	return held, rows[0].version, err
}

func (c *Client) putTerm(ctx context.Context, groupName string, version uint64, t storedTerm) (bool, error) {
	value, err := json.Marshal(t)
	if err != nil {
		return false, err
	}
	key := termPrefix + groupName
	return c.Transact(ctx, []Condition{{Key: key, Version: version}}, []Write{{Key: key, Value: value}})
}
