package main

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/operator"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1/operatorv1connect"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/settings"
)

// callTimeout bounds one call to an instance's operator API.
const callTimeout = 10 * time.Second

// remote holds the flags that select an instance; every subcommand that calls an instance embeds it.
type remote struct {
	Operator string `long:"operator" env:"MONSOONTILLER_OPERATOR" default:"127.0.0.1:7300" value-name:"ADDRESS" description:"Operator address of any instance"`
	Cert     string `long:"cert" value-name:"FILE" description:"Certificate for mutual TLS"`
	Key      string `long:"key" value-name:"FILE" description:"Key of the certificate"`
	CA       string `long:"ca" value-name:"FILE" description:"Authority of the instance's certificate"`
}

// call runs f with a client of the instance, under callTimeout.
func (r *remote) call(f func(ctx context.Context, c operatorv1connect.OperatorServiceClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client, address, err := r.transport()
	if err != nil {
		return err
	}
	return f(ctx, operator.NewClient(operator.ClientConfig{Address: address, HTTP: client}))
}

// transport returns an HTTP client and the address of the instance, for mutual TLS if a certificate is given.
func (r *remote) transport() (*http.Client, string, error) {
	if r.Cert == "" {
		return peer.NewClient(nil), r.Operator, nil
	}
	_, client, err := settings.TLS{PeerCert: r.Cert, PeerKey: r.Key, PeerCA: r.CA}.PeerTLS()
	if err != nil {
		return nil, "", err
	}
	return newTLSClient(client), "https://" + r.Operator, nil
}

func newTLSClient(cfg *tls.Config) *http.Client { return peer.NewClient(cfg) }

// contractCommand groups the subcommands on contracts.
type contractCommand struct {
	Apply   contractApply   `command:"apply" description:"Accept a new revision of a contract"`
	Get     contractGet     `command:"get" description:"Print a contract as it is in force"`
	List    contractList    `command:"list" description:"List the contracts in force"`
	History contractHistory `command:"history" description:"List the revisions of a contract"`
}

// contractApply submits a new revision of a contract.
type contractApply struct {
	remote
	Base      uint64 `long:"base" value-name:"REVISION" description:"Revision that the text was edited from; 0 for a new contract"`
	RequestID string `long:"request-id" value-name:"ID" description:"Makes a repeated request return the first one's result"`
	Author    string `long:"author" value-name:"NAME" description:"Who makes the change; default is the user"`
	Args      struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *contractApply) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := contract.Parse(text); err != nil {
		return err
	}
	if c.RequestID == "" {
		c.RequestID = newRequestID()
	}
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.ApplyContract(ctx, connect.NewRequest(&operatorv1.ApplyContractRequest{
			Text:         string(text),
			BaseRevision: c.Base,
			RequestId:    c.RequestID,
			Author:       c.author(),
		}))
		if err != nil {
			fmt.Fprintln(os.Stderr, "request id:", c.RequestID)
			return err
		}
		fmt.Printf("%s revision %d is in force\n", resp.Msg.GetCustomer(), resp.Msg.GetRevision())
		return nil
	})
}

func (c *contractApply) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func newRequestID() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// contractGet prints a contract.
type contractGet struct {
	remote
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *contractGet) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.GetContract(ctx, connect.NewRequest(&operatorv1.GetContractRequest{Customer: c.Args.Customer}))
		if err != nil {
			return err
		}
		fmt.Printf("# revision %d by %s\n%s", resp.Msg.GetContract().GetRevision(), resp.Msg.GetContract().GetAuthor(), resp.Msg.GetContract().GetText())
		return nil
	})
}

// contractList lists contracts.
type contractList struct {
	remote
}

// Execute runs the command.
func (c *contractList) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.ListContracts(ctx, connect.NewRequest(&operatorv1.ListContractsRequest{}))
		if err != nil {
			return err
		}
		printContracts(resp.Msg.GetContracts())
		return nil
	})
}

// contractHistory lists the revisions of a contract.
type contractHistory struct {
	remote
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *contractHistory) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.ContractHistory(ctx, connect.NewRequest(&operatorv1.ContractHistoryRequest{Customer: c.Args.Customer}))
		if err != nil {
			return err
		}
		printContracts(resp.Msg.GetContracts())
		return nil
	})
}

func printContracts(contracts []*operatorv1.Contract) {
	t := newTable("CUSTOMER", "REVISION", "ACCEPTED", "AUTHOR")
	for _, c := range contracts {
		writeRow(t, c.GetCustomer(), c.GetRevision(), time.Unix(c.GetAcceptedUnix(), 0).UTC().Format(time.RFC3339), c.GetAuthor())
	}
	t.Flush()
}

func newTable(header ...string) *tabwriter.Writer {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	return t
}

func writeRow(t *tabwriter.Writer, cells ...any) {
	for _, c := range cells {
		fmt.Fprintf(t, "%v\t", c)
	}
	fmt.Fprintln(t)
}

// instanceCommand groups the subcommands on instances.
type instanceCommand struct {
	List  instanceList  `command:"list" description:"List instances"`
	Drain instanceDrain `command:"drain" description:"Order an instance to leave"`
}

// instanceList lists instances.
type instanceList struct {
	remote
}

// Execute runs the command.
func (c *instanceList) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
		if err != nil {
			return err
		}
		printInstances(resp.Msg)
		return nil
	})
}

func printInstances(s *operatorv1.StatusResponse) {
	t := newTable("INSTANCE", "SEAT", "DATA CENTRE", "STATE", "HEARD MS AGO", "PEER ADDRESS")
	for _, i := range s.GetInstances() {
		writeRow(t, i.GetName(), i.GetNumber(), i.GetDataCentre(), i.GetState(), i.GetHeardAgeMs(), i.GetPeerAddress())
	}
	t.Flush()
}

// instanceDrain orders an instance to leave the fleet.
type instanceDrain struct {
	remote
	Args struct {
		Instance string `positional-arg-name:"INSTANCE"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *instanceDrain) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		_, err := client.DrainInstance(ctx, connect.NewRequest(&operatorv1.DrainInstanceRequest{Instance: c.Args.Instance}))
		return err
	})
}

// endpointCommand groups the subcommands on endpoints.
type endpointCommand struct {
	List  endpointList  `command:"list" description:"List endpoints"`
	Drain endpointDrain `command:"drain" description:"Order an endpoint to get no new work"`
}

// endpointList lists endpoints.
type endpointList struct {
	remote
}

// Execute runs the command.
func (c *endpointList) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
		if err != nil {
			return err
		}
		printEndpoints(resp.Msg)
		return nil
	})
}

func printEndpoints(s *operatorv1.StatusResponse) {
	t := newTable("GROUP", "TERM", "ENDPOINT", "ROLE", "POSITION", "LAG MS", "USABLE", "LEAVING", "OPEN", "LIMIT", "WAITING", "ERROR")
	for _, g := range s.GetGroups() {
		for _, e := range g.GetEndpoints() {
			writeRow(t, g.GetName(), g.GetTerm(), e.GetName(), e.GetRole(), e.GetPosition(), e.GetLagMs(), e.GetUsable(), e.GetLeaving(), e.GetOpen(), e.GetLimit(), e.GetWaiting(), e.GetError())
		}
	}
	t.Flush()
}

// endpointDrain orders that an endpoint gets no new requests, or with --stay revokes such an order.
type endpointDrain struct {
	remote
	Stay bool `long:"stay" description:"Take an earlier order back"`
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *endpointDrain) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		_, err := client.DrainEndpoint(ctx, connect.NewRequest(&operatorv1.DrainEndpointRequest{Endpoint: c.Args.Endpoint, Stay: c.Stay}))
		return err
	})
}

// statusCommand prints an instance's view of the fleet.
type statusCommand struct {
	remote
}

// Execute runs the command.
func (c *statusCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
		if err != nil {
			return err
		}
		s := resp.Msg
		fmt.Printf("instance %s, seat %d, data centre %s, callers %d on %s\n", s.GetInstance(), s.GetNumber(), s.GetDataCentre(), s.GetCallers(), s.GetCallerAddress())
		fmt.Printf("configuration current: %v, proved %d ms ago\n\n", s.GetCurrent(), s.GetFreshAgeMs())
		printInstances(s)
		fmt.Println()
		printEndpoints(s)
		for _, g := range s.GetGroups() {
			if !g.GetLease() {
				fmt.Printf("\ngroup %s: no confirmed primary (%s); writes are refused as not run\n", g.GetName(), g.GetPhase())
			}
		}
		return nil
	})
}
