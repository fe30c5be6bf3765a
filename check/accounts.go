package check

import "fmt"

func (r *review) checkAccounts() {
	c, places := r.configuration, accountPlaces(r.configuration)
	if c.AccountsDefined && len(c.Accounts) == 0 {
		r.warn(placeConfiguration, "the list of accounts is empty; every key is refused, except on public routes",
			"add accounts, or remove the list if keys shall not be checked")
	}
	first := firstOccurrence(namesOf(c.Accounts, func(a Account) string { return a.Name }))
	for i, account := range c.Accounts {
		p := places[i]
		switch k := first[account.Name]; {
		case account.Name == "":
			r.fail(p, "the name is missing", "name the account")
		case !isWord(account.Name):
			r.fail(p, "the name contains a space or a line break, so it cannot be sent to an endpoint", "correct the name")
		case k != i:
			r.fail(p, fmt.Sprintf("the name is already used by entry %d", k+1), "merge the two entries, or correct a name")
		}
		if len(account.Keys) == 0 {
			r.warn(p, "it has no keys; no session can belong to it", "add a key or remove the account")
		}
		r.checkQuota(p, account)
	}
}

func (r *review) checkQuota(p place, account Account) {
	if account.Priority != nil {
		r.number(p, "the priority", *account.Priority)
	}
	rate := account.RatePerS != nil && r.number(p, "the rate", *account.RatePerS)
	burst := account.Burst != nil && r.number(p, "the burst", *account.Burst)
	if !burst || *account.Burst == 0 {
		return
	}
	if account.RatePerS == nil {
		r.warn(p, "a burst is set without a rate and has no effect", "set a rate or remove the burst")
	} else if rate && *account.RatePerS == 0 {
		r.warn(p, fmt.Sprintf("the rate is 0 with a burst of %s", formatNumber(*account.Burst)), "set a rate above 0; without rate and burst the account is not limited")
	}
}

// keyHolder is an occurrence of a key; account and key count from 0.
type keyHolder struct{ account, key int }

func (h keyHolder) text(places []place) string {
	return fmt.Sprintf("key %d of %s", h.key+1, places[h.account].text)
}

// checkKeys reports keys that cannot be sent or occur more than once.
func (r *review) checkKeys() {
	places := accountPlaces(r.configuration)
	first := map[Key]keyHolder{}
	for a, account := range r.configuration.Accounts {
		for k, key := range account.Keys {
			p := places[a]
			if !key.sendable {
				r.warn(p, fmt.Sprintf("key %d can never match: it is empty, or contains a space or a line break", k+1), "replace or remove the key")
				continue
			}
			holder, seen := first[key]
			switch {
			case !seen:
				first[key] = keyHolder{account: a, key: k}
			case holder.account == a:
				r.warn(p, fmt.Sprintf("key %d repeats key %d", k+1, holder.key+1), "remove one of the two")
			default:
				r.fail(p, fmt.Sprintf("key %d is also %s", k+1, holder.text(places)), "remove the key from one of the accounts")
			}
		}
	}
}
