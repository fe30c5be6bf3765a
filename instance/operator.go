package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/operator"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1/operatorv1connect"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/table"
)

// operatorService serves the operator API, the probes of the platform and the metrics.
type operatorService struct {
	instance *Instance
	server   *http.Server
}

// Name returns the service's name.
func (s *operatorService) Name() string { return "operator" }

// Run serves until ctx ends.
func (s *operatorService) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(s))
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", s.ready)
	if s.instance.cfg.Metrics != nil {
		mux.Handle("/metrics", s.metrics())
	}
	s.server.Handler = mux
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.instance.cfg.OperatorListener, "", "")
	} else {
		err = s.server.Serve(s.instance.cfg.OperatorListener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *operatorService) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.instance.updateGauges()
		s.instance.cfg.Metrics.ServeHTTP(w, r)
	})
}

// ready answers the load balancer's probe of whether this instance accepts callers.
func (s *operatorService) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.instance.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the load balancer may send callers to this instance: its configuration is current, the platform has
// listed its groups, no order to leave is in force, and at least one group, if there are any, has a confirmed primary.
func (i *Instance) Ready() bool {
	if !i.node.Current(clock.Now()) || !i.groupsListed.Load() {
		return false
	}
	select {
	case <-i.drainOrdered:
		return false
	default:
	}
	groups := i.allGroups()
	for _, w := range groups {
		if w.group.LeaseValid() {
			return true
		}
	}
	return len(groups) == 0
}

// ApplyContract accepts a new revision of a contract.
func (s *operatorService) ApplyContract(ctx context.Context, req *connect.Request[operatorv1.ApplyContractRequest]) (*connect.Response[operatorv1.ApplyContractResponse], error) {
	c, err := contract.Parse([]byte(req.Msg.GetText()))
	if err != nil {
		return nil, operator.Error(err)
	}
	if err := s.instance.checkGroups(c); err != nil {
		return nil, operator.Error(err)
	}
	item, err := s.instance.accept(ctx, table.Change{
		Key:       contractPrefix + c.Customer(),
		Text:      req.Msg.GetText(),
		Base:      membership.Revision(req.Msg.GetBaseRevision()),
		RequestID: orRequestID(req.Msg.GetRequestId()),
		Author:    req.Msg.GetAuthor(),
		Now:       time.Now(),
	})
	if err != nil {
		return nil, operator.Error(err)
	}
	return connect.NewResponse(&operatorv1.ApplyContractResponse{Customer: c.Customer(), Revision: uint64(item.Revision())}), nil
}

// orRequestID returns id, or a random request id if id is empty.
func orRequestID(id string) string {
	if id == "" {
		return requestID()
	}
	return id
}

// checkGroups returns an error if a contract names a group that the platform does not have.
func (i *Instance) checkGroups(c *contract.Contract) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, d := range c.Databases() {
		if i.groups[d.Group()] == nil {
			return fault.New(fault.Config{
				Kind:    fault.KindInvalid,
				Message: "the platform has no database group " + d.Group() + "; nothing was changed",
				Remedy:  "create the group on the platform first, or correct its name",
			})
		}
	}
	return nil
}

// GetContract returns the contract of a customer in force on this instance.
func (s *operatorService) GetContract(_ context.Context, req *connect.Request[operatorv1.GetContractRequest]) (*connect.Response[operatorv1.GetContractResponse], error) {
	item, ok := s.instance.node.Item(contractPrefix + req.Msg.GetCustomer())
	if !ok {
		return nil, operator.Error(errNoSuch("contract of "+req.Msg.GetCustomer(), "contract list"))
	}
	return connect.NewResponse(&operatorv1.GetContractResponse{Contract: contractMessage(item)}), nil
}

// errNoSuch returns the error for an object that does not exist; command lists the existing ones.
func errNoSuch(object, command string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindNotFound,
		Message: "there is no " + object + "; nothing was changed",
		Remedy:  "correct the name; `monsoontiller " + command + "` lists the existing ones",
	})
}

func contractMessage(item peer.ConfigItem) *operatorv1.Contract {
	customer, _ := table.TrimKeyPrefix(item.Key(), contractPrefix)
	return &operatorv1.Contract{
		Customer:     customer,
		Revision:     uint64(item.Revision()),
		Text:         item.Value().Text(),
		Author:       item.Value().Author(),
		AcceptedUnix: item.Value().AcceptedAt().Unix(),
	}
}

// ListContracts returns the contracts in force on this instance.
func (s *operatorService) ListContracts(context.Context, *connect.Request[operatorv1.ListContractsRequest]) (*connect.Response[operatorv1.ListContractsResponse], error) {
	resp := &operatorv1.ListContractsResponse{}
	for _, item := range s.instance.node.Items() {
		if _, ok := table.TrimKeyPrefix(item.Key(), contractPrefix); ok {
			resp.Contracts = append(resp.Contracts, contractMessage(item))
		}
	}
	return connect.NewResponse(resp), nil
}

// ContractHistory returns the accepted revisions of a contract.
func (s *operatorService) ContractHistory(ctx context.Context, req *connect.Request[operatorv1.ContractHistoryRequest]) (*connect.Response[operatorv1.ContractHistoryResponse], error) {
	items, err := table.NewConfiguration(s.instance.cfg.Platform).History(ctx, contractPrefix+req.Msg.GetCustomer())
	if err != nil {
		return nil, operator.Error(err)
	}
	resp := &operatorv1.ContractHistoryResponse{}
	for _, item := range items {
		resp.Contracts = append(resp.Contracts, contractMessage(item))
	}
	return connect.NewResponse(resp), nil
}

// DrainInstance orders the current run of an instance to drain and stop.
func (s *operatorService) DrainInstance(ctx context.Context, req *connect.Request[operatorv1.DrainInstanceRequest]) (*connect.Response[operatorv1.DrainInstanceResponse], error) {
	s.refreshConfiguration(ctx)
	for _, seat := range s.instance.node.Seats() {
		if seat.Name != req.Msg.GetInstance() {
			continue
		}
		err := s.writeOrder(ctx, instancePrefix+seat.Name, orderText(seat.Incarnation))
		return connect.NewResponse(&operatorv1.DrainInstanceResponse{}), operator.Error(err)
	}
	return nil, operator.Error(errNoSuch("instance "+req.Msg.GetInstance()+" with a seat", "instance list"))
}

// DrainEndpoint orders that an endpoint gets no new requests, or cancels that order.
func (s *operatorService) DrainEndpoint(ctx context.Context, req *connect.Request[operatorv1.DrainEndpointRequest]) (*connect.Response[operatorv1.DrainEndpointResponse], error) {
	if w, _ := (&backend{instance: s.instance}).findEndpoint(req.Msg.GetEndpoint()); w == nil {
		return nil, operator.Error(errNoSuch("endpoint "+req.Msg.GetEndpoint(), "endpoint list"))
	}
	text := orderLeave
	if req.Msg.GetStay() {
		text = orderStay
	}
	err := s.writeOrder(ctx, endpointPrefix+req.Msg.GetEndpoint(), text)
	return connect.NewResponse(&operatorv1.DrainEndpointResponse{}), operator.Error(err)
}

// refreshConfiguration reads the table once, so that an order is based on the newest revision. It returns no error: if the
// table does not answer, the write of the order fails.
func (s *operatorService) refreshConfiguration(ctx context.Context) {
	sentAt := clock.Now()
	items, err := table.NewConfiguration(s.instance.cfg.Platform).Poll(ctx)
	if err == nil {
		s.instance.node.TableRead(sentAt, items)
	}
}

// writeOrder writes an order as the next revision of a key; an order that is already in force changes nothing.
func (s *operatorService) writeOrder(ctx context.Context, key, text string) error {
	s.refreshConfiguration(ctx)
	item, ok := s.instance.node.Item(key)
	if ok && item.Value().Text() == text {
		return nil
	}
	_, err := s.instance.accept(ctx, table.Change{
		Key:       key,
		Text:      text,
		Base:      item.Revision(),
		RequestID: requestID(),
		Author:    s.instance.cfg.Name,
		Now:       time.Now(),
	})
	return err
}

// Status returns the state of this instance, and of its peers and groups as this instance knows them.
func (s *operatorService) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	i := s.instance
	now := clock.Now()
	resp := &operatorv1.StatusResponse{
		Instance:      i.cfg.Name,
		DataCentre:    i.cfg.DataCentre,
		Number:        i.seatNumber,
		CallerAddress: i.server.Address(),
		Current:       i.node.Current(now),
		FreshAgeMs:    -1,
		Callers:       uint32(i.server.Callers()),
	}
	if age, ok := i.node.ProofAge(now); ok {
		resp.FreshAgeMs = age.Milliseconds()
	}
	for _, p := range i.node.Presences() {
		resp.Instances = append(resp.Instances, presenceStatus(now, p))
	}
	for _, w := range i.allGroups() {
		resp.Groups = append(resp.Groups, groupStatus(w))
	}
	return connect.NewResponse(resp), nil
}

func presenceStatus(now time.Time, p peer.Presence) *operatorv1.InstanceStatus {
	out := &operatorv1.InstanceStatus{
		Name:        p.Identity().Name(),
		Number:      p.Identity().Seat(),
		DataCentre:  p.Identity().DataCentre(),
		PeerAddress: p.Identity().PeerAddress(),
		State:       p.State().String(),
		HeardAgeMs:  -1,
	}
	if !p.LastMessageAt().IsZero() {
		out.HeardAgeMs = now.Sub(p.LastMessageAt()).Milliseconds()
	}
	return out
}

func groupStatus(w *watchedGroup) *operatorv1.GroupStatus {
	out := &operatorv1.GroupStatus{Name: w.group.Name(), Lease: w.group.LeaseValid(), Phase: w.monitor.Phase()}
	w.group.View(func(t *route.Tracker) {
		out.Term = uint64(t.Term())
		out.Primary = t.Primary()
		point, _ := t.PrimarySample()
		for _, name := range t.Endpoints() {
			e := &operatorv1.EndpointStatus{Name: name, Role: group.RoleReplica.String(), Leaving: t.Leaving(name)}
			if name == t.Primary() {
				e.Role = group.RolePrimary.String()
				e.Position = uint64(point.Position())
				e.Usable = !e.Leaving
			}
			out.Endpoints = append(out.Endpoints, e)
		}
		fillReplicas(out, t)
	})
	for _, e := range out.Endpoints {
		fillUsage(e, w.group)
	}
	return out
}

func fillReplicas(out *operatorv1.GroupStatus, t *route.Tracker) {
	for _, r := range t.Replicas() {
		for _, e := range out.Endpoints {
			if e.Name == r.Endpoint() {
				e.Position = uint64(r.Point().Position())
				e.LagMs = float64(r.Lag().Microseconds()) / 1000
				e.Usable = r.Usable()
			}
		}
	}
}

func fillUsage(e *operatorv1.EndpointStatus, g *engine.Group[*endpoint.Conn]) {
	u := g.Connections(e.Name).Usage()
	e.Limit = uint32(u.Limit())
	e.Open = uint32(u.Open())
	e.Idle = uint32(u.Idle())
	e.Waiting = uint32(u.Waiting())
	if err := g.LastError(e.Name); err != nil {
		e.Error = err.Error()
	}
}

// Explain returns recent decisions of all instances.
func (s *operatorService) Explain(ctx context.Context, req *connect.Request[operatorv1.ExplainRequest]) (*connect.Response[operatorv1.ExplainResponse], error) {
	events, unreachable := s.instance.node.Explain(ctx, req.Msg.GetSubject(), int(req.Msg.GetLimit()))
	resp := &operatorv1.ExplainResponse{Unreachable: unreachable}
	for _, e := range events {
		resp.Decisions = append(resp.Decisions, &operatorv1.Decision{
			AtUnixNano: e.At().UnixNano(),
			Instance:   e.Instance(),
			Subject:    e.Subject(),
			Decision:   e.Decision(),
			Evidence:   e.Evidence(),
		})
	}
	return connect.NewResponse(resp), nil
}

// Burn returns the service-level counts of this instance.
func (s *operatorService) Burn(context.Context, *connect.Request[operatorv1.BurnRequest]) (*connect.Response[operatorv1.BurnResponse], error) {
	resp := &operatorv1.BurnResponse{}
	for _, c := range s.instance.customers() {
		resp.Customers = append(resp.Customers, operator.CountsMessage(c))
	}
	return connect.NewResponse(resp), nil
}
