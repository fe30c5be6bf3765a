package contract

import "time"

// Config holds the settings of a contract that comes from the platform instead of a TOML text.
//
// Zero values mean the defaults.
type Config struct {
	Customer       string
	Database       string
	Group          string
	Consistency    Consistency
	MaxStaleness   time.Duration
	RequestTimeout time.Duration
	// TargetLatency is the longest latency at which an operation still earns its full price.
	TargetLatency   time.Duration
	TransactionIdle time.Duration
	// Priority orders customers whose requests compete; 0 is served first.
	Priority int
	// ReplicationRequired delays the acknowledgement of a write until a replica has received it.
	ReplicationRequired bool
}

// New returns the contract described by cfg.
func New(cfg Config) *Contract {
	c := &Contract{
		customer:  cfg.Customer,
		databases: []Database{{name: cfg.Database, group: cfg.Group}},
		limits: Limits{
			callers:        defaultCallers,
			queueLength:    defaultQueueLength,
			requestTimeout: orDefault(cfg.RequestTimeout, defaultRequestTimeout),
			idleCheck:      defaultIdleCheck,
			txIdle:         orDefault(cfg.TransactionIdle, defaultTxIdle),
			priority:       cfg.Priority,
		},
		reads: Reads{
			consistency:  cfg.Consistency,
			maxStaleness: cfg.MaxStaleness,
			replicaWait:  defaultReplicaWait,
		},
		writes: Writes{replication: ReplicationOff, wait: defaultReplicationWait},
		retries: Retries{
			ratio:     defaultRetryRatio,
			perSecond: defaultRetryPerSecond,
			first:     defaultFirstBackoff,
			max:       defaultMaxBackoff,
		},
		drain: defaultDrainTimeout,
		objectives: Objectives{
			success:      defaultSuccess,
			replicaShare: defaultReplicaShare,
			latency:      orDefault(cfg.TargetLatency, defaultLatency),
			failoverGap:  defaultFailoverGap,
		},
	}
	c.limits.queueTimeout = min(defaultQueueTimeout, c.limits.requestTimeout)
	if cfg.ReplicationRequired {
		c.writes.replication = ReplicationRequired
	}
	return c
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
