package fleet

import (
	"context"
	"net"
	"time"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
)

// Link is a connection to an endpoint over which the endpoint can also be fenced.
type Link[L any] interface {
	engine.StatementLink[L]
	// PauseReplication orders a replica to stop receiving until term begins, and returns the status that shows its promise.
	PauseReplication(ctx context.Context, term group.Term) (group.Status, error)
	// ResumeReplication ends a pause of the replication: the replica receives again.
	ResumeReplication(ctx context.Context) (group.Status, error)
	// Demote orders a primary of a term below term to become a replica.
	Demote(ctx context.Context, term group.Term) (group.Status, error)
}

// Document is a version of the configuration.
type Document struct {
	Version uint64
	// Contracts are keyed by the database that callers name.
	Contracts map[string]*contract.Contract
	// Groups are the database groups by name.
	Groups map[string]GroupSettings
	// Accounts are the client accounts, or nil if callers need no key.
	Accounts *account.Registry
	// Public holds the databases that callers reach without a key.
	Public map[string]bool
	// LeftOut describes the parts of the version that could not be decoded.
	LeftOut []string
}

// AccountNames returns the names of the client accounts.
func (d Document) AccountNames() []string {
	if d.Accounts == nil {
		return nil
	}
	return d.Accounts.Names()
}

// GroupSettings is the configuration of a database group.
type GroupSettings struct {
	// Connections is the most connections that one member accepts from all instances together.
	Connections int
	// RequiredReplicas is the number of replicas that receive a write before a member acknowledges it.
	RequiredReplicas int
}

// Entry is an endpoint's own entry in the store.
type Entry struct {
	Endpoint   string
	Group      string
	Address    string
	DataCentre string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Leaving marks an endpoint that is about to stop and gets no new requests.
	Leaving bool
	// Incarnation distinguishes the runs of the endpoint; 0 means that it is not known.
	Incarnation int64
}

// Promotion names the endpoint to promote, and the promotion coordinator that orders it.
type Promotion struct {
	Group    string
	Endpoint string
	Holder   string
	// Token is the fencing token of the coordinator lease; it increases with each new holder.
	Token uint64
	// Until is the end of the coordinator lease, on the clock of package clock; the order may not be sent later.
	Until time.Time
}

// Target describes the link to open.
type Target struct {
	Group  string
	Member engine.Address
	// Account is the client account whose requests the link carries, or "".
	Account string
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Adapter supplies everything that depends on the platform's names and formats.
type Adapter[L Link[L]] struct {
	// ConfigurationTable and ConfigurationKey name the row of the configuration.
	ConfigurationTable string
	ConfigurationKey   string
	// EndpointTable names the table of the endpoints' entries.
	EndpointTable string
	// ParseDocument decodes the configuration.
	ParseDocument func(text []byte) (Document, error)
	// ParseEntry decodes an endpoint's entry; an error means that the entry names no usable endpoint.
	ParseEntry func(key string, value []byte) (Entry, error)
	// Dialer opens a connection that fails when the remote side no longer answers.
	Dialer DialFunc
	// Dial opens a link to a member of a group over a connection that dial opens.
	Dial func(ctx context.Context, t Target, dial DialFunc) (L, error)
	// Promote orders a promotion. It fails with KindConflict if the platform refuses because the endpoint does not run, with
	// KindUnavailable if the order was not sent or the platform refused it unseen, and with KindOutcomeUnknown if the order
	// may have an effect, now or later. The error wraps ErrPromotionAPIUnreachable if no connection was opened.
	Promote func(ctx context.Context, p Promotion) error
}
