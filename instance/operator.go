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

// operatorService answers operators, probes of the platform and scrapes of metrics.
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

// ready says whether the balancer may lead callers here.
func (s *operatorService) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.instance.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the configuration is current and every group has a confirmed primary or a replica to read from.
func (i *Instance) Ready() bool {
	if !i.node.Current(clock.Now()) || !i.learned.Load() {
		return false
	}
	select {
	case <-i.ordered:
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
func (s *operatorService) ApplyContract(ctx context.Context, q *connect.Request[operatorv1.ApplyContractRequest]) (*connect.Response[operatorv1.ApplyContractResponse], error) {
	c, err := contract.Parse([]byte(q.Msg.GetText()))
	if err != nil {
		return nil, operator.Error(err)
	}
	if err := s.instance.checkGroups(c); err != nil {
		return nil, operator.Error(err)
	}
	item, err := s.instance.accept(ctx, table.Change{
		Key:       contractPrefix + c.Customer(),
		Text:      q.Msg.GetText(),
		Base:      membership.Revision(q.Msg.GetBaseRevision()),
		RequestID: orRandom(q.Msg.GetRequestId()),
		Author:    q.Msg.GetAuthor(),
		Now:       time.Now(),
	})
	if err != nil {
		return nil, operator.Error(err)
	}
	return connect.NewResponse(&operatorv1.ApplyContractResponse{Customer: c.Customer(), Revision: uint64(item.Revision())}), nil
}

func orRandom(id string) string {
	if id == "" {
		return requestID()
	}
	return id
}

// checkGroups refuses a contract that names a group which the platform does not have.
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

// GetContract returns a contract as it is in force here.
func (s *operatorService) GetContract(_ context.Context, q *connect.Request[operatorv1.GetContractRequest]) (*connect.Response[operatorv1.GetContractResponse], error) {
	item, ok := s.instance.node.Item(contractPrefix + q.Msg.GetCustomer())
	if !ok {
		return nil, operator.Error(noSuch("contract of "+q.Msg.GetCustomer(), "contract list"))
	}
	return connect.NewResponse(&operatorv1.GetContractResponse{Contract: contractMessage(item)}), nil
}

// noSuch tells an operator that something does not exist, and which command lists what does.
func noSuch(what, command string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindNotFound,
		Message: "there is no " + what + "; nothing was changed",
		Remedy:  "correct the name; `monsoontiller " + command + "` shows what there is",
	})
}

func contractMessage(item peer.ConfigItem) *operatorv1.Contract {
	customer, _ := table.KeyUnder(item.Key(), contractPrefix)
	return &operatorv1.Contract{
		Customer:     customer,
		Revision:     uint64(item.Revision()),
		Text:         item.Value().Text(),
		Author:       item.Value().Author(),
		AcceptedUnix: item.Value().AcceptedAt().Unix(),
	}
}

// ListContracts returns the contracts in force here.
func (s *operatorService) ListContracts(context.Context, *connect.Request[operatorv1.ListContractsRequest]) (*connect.Response[operatorv1.ListContractsResponse], error) {
	a := &operatorv1.ListContractsResponse{}
	for _, item := range s.instance.node.Items() {
		if _, ok := table.KeyUnder(item.Key(), contractPrefix); ok {
			a.Contracts = append(a.Contracts, contractMessage(item))
		}
	}
	return connect.NewResponse(a), nil
}

// ContractHistory returns the accepted revisions of a contract.
func (s *operatorService) ContractHistory(ctx context.Context, q *connect.Request[operatorv1.ContractHistoryRequest]) (*connect.Response[operatorv1.ContractHistoryResponse], error) {
	items, err := table.NewConfiguration(s.instance.cfg.Platform).History(ctx, contractPrefix+q.Msg.GetCustomer())
	if err != nil {
		return nil, operator.Error(err)
	}
	a := &operatorv1.ContractHistoryResponse{}
	for _, item := range items {
		a.Contracts = append(a.Contracts, contractMessage(item))
	}
	return connect.NewResponse(a), nil
}

// DrainInstance orders the present run of an instance to leave.
func (s *operatorService) DrainInstance(ctx context.Context, q *connect.Request[operatorv1.DrainInstanceRequest]) (*connect.Response[operatorv1.DrainInstanceResponse], error) {
	s.refresh(ctx)
	for _, seat := range s.instance.node.Seats() {
		if seat.Name != q.Msg.GetInstance() {
			continue
		}
		err := s.order(ctx, instancePrefix+seat.Name, orderText(seat.Incarnation))
		return connect.NewResponse(&operatorv1.DrainInstanceResponse{}), operator.Error(err)
	}
	return nil, operator.Error(noSuch("instance "+q.Msg.GetInstance()+" with a seat", "instance list"))
}

// DrainEndpoint orders an endpoint to get no new work, or takes the order back.
func (s *operatorService) DrainEndpoint(ctx context.Context, q *connect.Request[operatorv1.DrainEndpointRequest]) (*connect.Response[operatorv1.DrainEndpointResponse], error) {
	if w, _ := (&backend{instance: s.instance}).find(q.Msg.GetEndpoint()); w == nil {
		return nil, operator.Error(noSuch("endpoint "+q.Msg.GetEndpoint(), "endpoint list"))
	}
	text := orderLeave
	if q.Msg.GetStay() {
		text = orderStay
	}
	err := s.order(ctx, endpointPrefix+q.Msg.GetEndpoint(), text)
	return connect.NewResponse(&operatorv1.DrainEndpointResponse{}), operator.Error(err)
}

// refresh reads the table once, so that an order rests on the newest revision; without the table the order fails later.
func (s *operatorService) refresh(ctx context.Context) {
	sentAt := clock.Now()
	items, err := table.NewConfiguration(s.instance.cfg.Platform).Poll(ctx)
	if err == nil {
		s.instance.node.ReadTable(sentAt, items)
	}
}

// order accepts an order on top of whatever revision is in force; the same order twice changes nothing.
func (s *operatorService) order(ctx context.Context, key, text string) error {
	s.refresh(ctx)
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

// Status returns what this instance knows.
func (s *operatorService) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	i := s.instance
	now := clock.Now()
	a := &operatorv1.StatusResponse{
		Instance:      i.cfg.Name,
		DataCentre:    i.cfg.DataCentre,
		Number:        i.number,
		CallerAddress: i.server.Address(),
		Current:       i.node.Current(now),
		FreshAgeMs:    -1,
		Callers:       uint32(i.server.Callers()),
	}
	if age, ok := i.node.FreshAge(now); ok {
		a.FreshAgeMs = age.Milliseconds()
	}
	for _, p := range i.node.Presences() {
		a.Instances = append(a.Instances, presenceStatus(now, p))
	}
	for _, w := range i.allGroups() {
		a.Groups = append(a.Groups, groupStatus(w))
	}
	return connect.NewResponse(a), nil
}

func presenceStatus(now time.Time, p peer.Presence) *operatorv1.InstanceStatus {
	out := &operatorv1.InstanceStatus{
		Name:        p.Identity().Name(),
		Number:      p.Identity().Number(),
		DataCentre:  p.Identity().DataCentre(),
		PeerAddress: p.Identity().PeerAddress(),
		State:       p.State().String(),
		HeardAgeMs:  -1,
	}
	if !p.HeardAt().IsZero() {
		out.HeardAgeMs = now.Sub(p.HeardAt()).Milliseconds()
	}
	return out
}

func groupStatus(w *watched) *operatorv1.GroupStatus {
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
func (s *operatorService) Explain(ctx context.Context, q *connect.Request[operatorv1.ExplainRequest]) (*connect.Response[operatorv1.ExplainResponse], error) {
	events, unreachable := s.instance.node.Explain(ctx, q.Msg.GetSubject(), int(q.Msg.GetLimit()))
	a := &operatorv1.ExplainResponse{Unreachable: unreachable}
	for _, e := range events {
		a.Decisions = append(a.Decisions, &operatorv1.Decision{
			AtUnixNano: e.At().UnixNano(),
			Instance:   e.Instance(),
			Subject:    e.Subject(),
			Decision:   e.Decision(),
			Evidence:   e.Evidence(),
		})
	}
	return connect.NewResponse(a), nil
}

// Burn returns this instance's service-level counts.
func (s *operatorService) Burn(context.Context, *connect.Request[operatorv1.BurnRequest]) (*connect.Response[operatorv1.BurnResponse], error) {
	a := &operatorv1.BurnResponse{}
	for _, c := range s.instance.customers() {
		a.Customers = append(a.Customers, operator.CountsMessage(c))
	}
	return connect.NewResponse(a), nil
}
