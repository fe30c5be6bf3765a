package fleet

import (
	"context"
	"net"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
)

// Link is a link to an endpoint that can also fence it.
type Link[L any] interface {
	engine.StatementLink[L]
	// Hold asks a replica to receive nothing until term begins and returns the status that shows the promise.
	Hold(ctx context.Context, term group.Term) (group.Status, error)
	// Release lets a held replica receive again.
	Release(ctx context.Context) (group.Status, error)
	// Demote asks a primary of a term below term to become a replica.
	Demote(ctx context.Context, term group.Term) (group.Status, error)
}

// Document is a version of the configuration.
type Document struct {
	Version uint64
	// Contracts are keyed by the database that callers name.
	Contracts map[string]*contract.Contract
	// Groups are the database groups by name.
	Groups map[string]GroupTerms
}

// GroupTerms is what the configuration says of a database group.
type GroupTerms struct {
	// Connections is the most connections that one member takes from all instances.
	Connections int
}

// Entry is what an endpoint says of itself.
type Entry struct {
	Endpoint   string
	Group      string
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving says that it is about to end and gets no new work.
	Leaving bool
	// Incarnation tells its runs apart, or is 0 where it does not tell.
	Incarnation int64
}

// Promotion names the endpoint that is to lead a group, and the duty under which this is ordered.
type Promotion struct {
	Group    string
	Endpoint string
	Holder   string
	// Token is the fencing token of the duty; it rises with each holder.
	Token uint64
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Adapter is everything that knows the platform's names and formats.
type Adapter[L Link[L]] struct {
	// ConfigurationTable and ConfigurationKey name the row of the configuration.
	ConfigurationTable string
	ConfigurationKey   string
	// EndpointTable names the table of the endpoints' entries.
	EndpointTable string
	// ParseDocument decodes the configuration.
	ParseDocument func(text []byte) (Document, error)
	// ParseEntry decodes an endpoint's entry; an error means that it names no endpoint to use.
	ParseEntry func(key string, value []byte) (Entry, error)
	// Dialer opens a connection on which a peer that vanished is noticed.
	Dialer DialFunc
	// Dial opens a link to a member of a group over a connection that dial opens.
	Dial func(ctx context.Context, group string, m engine.Address, dial DialFunc) (L, error)
	// Promote orders a promotion.
	Promote func(ctx context.Context, p Promotion) error
}
