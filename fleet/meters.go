package fleet

import "github.com/uber-go/tally/v4"

// meters are the metrics of what this instance takes over from the store and from its peers.
type meters struct {
	// era is the store's era, and configuration the version in force.
	era           tally.Gauge
	configuration tally.Gauge
	// restored counts how often the store was seen to have returned from an older copy, tablesRead the reads of whole
	// tables by followers, and older the entries that were not taken over because a later one was known.
	restored   tally.Counter
	tablesRead tally.Counter
	older      tally.Counter
	// missed counts the calls waiting for changes that were ended because their answer was lost.
	missed tally.Counter
	// registered is 1 while this instance is known to be registered, so that it may hold leases, and 0 otherwise.
	registered tally.Gauge
	// invalid counts the entries that name no usable endpoint.
	invalid tally.Counter
	// accounts is the number of client accounts of the configuration in force, and keyProofAge the age in ms of the proof that
	// their keys are the newest: since the start without a proof, and 0 if none is needed.
	accounts    tally.Gauge
	keyProofAge tally.Gauge
}

func newMeters(scope tally.Scope) meters {
	return meters{
		era:           scope.Gauge("store_era"),
		configuration: scope.Gauge("configuration_version"),
		restored:      scope.Counter("store_restored_total"),
		tablesRead:    scope.Counter("tables_read_total"),
		missed:        scope.Counter("store_answers_missed_total"),
		older:         scope.Counter("older_entries_total"),
		registered:    scope.Gauge("registered"),
		invalid:       scope.Counter("invalid_entries_total"),
		accounts:      scope.Gauge("accounts"),
		keyProofAge:   scope.Gauge("key_proof_age_ms"),
	}
}
