package instance

import (
	"strings"

	"github.com/monsoontiller/monsoontiller/caller"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/route"
)

// Prefixes of configuration keys, and the texts of orders.
const (
	contractPrefix = "contract/"
	endpointPrefix = "endpoint/"
	instancePrefix = "instance/"
	orderLeave     = "leave"
	orderStay      = "stay"
)

// Find returns the binding of a customer's database under the contract in force. It fails with KindStale while the
// configuration may be out of date or the platform has not listed its groups, and with KindNotFound if the contract, the
// database or its group does not exist.
func (i *Instance) Find(customer, database string) (caller.Binding, error) {
	if !i.node.Current(clock.Now()) || !i.groupsListed.Load() {
		return caller.Binding{}, errStale()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	e, ok := i.contracts.Get(customer)
	if !ok {
		return caller.Binding{}, errNotFound("customer " + customer + " has no contract")
	}
	d, ok := e.Contract().Database(database)
	if !ok {
		return caller.Binding{}, errNotFound("the contract of " + customer + " has no database " + database)
	}
	w := i.groups[d.Group()]
	if w == nil {
		return caller.Binding{}, errNotFound("the platform has no database group " + d.Group())
	}
	return caller.NewBinding(caller.BindingConfig{
		Contract:      e.Contract(),
		Database:      d,
		Group:         w.group,
		CustomerState: i.customerStates[customer],
	}), nil
}

func errNotFound(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindNotFound,
		Message: message + "; nothing ran",
		Remedy:  "connect with user=CUSTOMER and dbname=DATABASE as the contract names them",
	})
}

// itemApplied applies a configuration item by the prefix of its key.
func (i *Instance) itemApplied(item peer.ConfigItem) {
	switch {
	case strings.HasPrefix(item.Key(), contractPrefix):
		i.applyContract(item)
	case strings.HasPrefix(item.Key(), endpointPrefix):
		i.applyEndpointOrder(strings.TrimPrefix(item.Key(), endpointPrefix), item.Value().Text() == orderLeave)
	case strings.HasPrefix(item.Key(), instancePrefix):
		i.applyInstanceOrder(strings.TrimPrefix(item.Key(), instancePrefix), item)
	case strings.HasPrefix(item.Key(), peer.SeatPrefix):
		i.checkSeat(item)
		i.endLoansWithoutSeat()
	}
}

func (i *Instance) applyContract(item peer.ConfigItem) {
	e, err := contract.NewEntry(contract.Revision(item.Revision()), []byte(item.Value().Text()))
	if err != nil {
		i.events.Add(event.Config{Subject: item.Key(), Decision: "revision_unreadable", Evidence: err.Error()})
		return
	}
	i.mu.Lock()
	applied := i.contracts.Apply(e)
	if applied {
		i.updateCustomerStateLocked(e)
		i.updateReplicationLocked()
	}
	i.mu.Unlock()
	if applied {
		i.events.Add(event.Config{
			Subject:  item.Key(),
			Decision: "revision_applied",
			Evidence: "revision " + revisionText(item) + " by " + item.Value().Author(),
		})
	}
}

// updateCustomerStateLocked creates the state that a customer's sessions share, or updates its retry rules; i.mu must be
// held.
func (i *Instance) updateCustomerStateLocked(e contract.Entry) {
	if state := i.customerStates[e.Customer()]; state != nil {
		state.SetRetries(e.Contract().Retries())
		return
	}
	i.customerStates[e.Customer()] = caller.NewCustomerState(e.Contract().Retries())
}

// updateReplicationLocked passes on which groups have a contract that acknowledges writes only once a replica has received
// them; i.mu must be held.
func (i *Instance) updateReplicationLocked() {
	required := map[string]int{}
	for _, e := range i.contracts.List() {
		if e.Contract().Writes().Replication() != contract.ReplicationRequired {
			continue
		}
		for _, d := range e.Contract().Databases() {
			required[d.Group()] = 1
		}
	}
	for name, w := range i.groups {
		w.monitor.SetRequiredReplicas(required[name])
	}
}

func (i *Instance) applyEndpointOrder(endpoint string, leave bool) {
	i.mu.Lock()
	i.leaving[endpoint] = leave
	groups := i.groupsLocked()
	i.mu.Unlock()
	for _, w := range groups {
		w.group.View(func(t *route.Tracker) { t.SetLeaving(endpoint, leave) })
		w.monitor.SetLeaving(i.leavingOf(w))
	}
	decision := "endpoint_stays"
	if leave {
		decision = "endpoint_leaves"
	}
	i.events.Add(event.Config{Subject: "endpoint/" + endpoint, Decision: decision, Evidence: "operator's order"})
}

func (i *Instance) leavingOf(w *watchedGroup) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leavingLocked(w)
}

// leavingLocked returns the members that are ordered to leave; i.mu must be held.
func (i *Instance) leavingLocked(w *watchedGroup) []string {
	var names []string
	for _, m := range w.group.Members() {
		if i.leaving[m.Endpoint] {
			names = append(names, m.Endpoint)
		}
	}
	return names
}

// applyInstanceOrder starts the drain if the order names this run of the instance.
func (i *Instance) applyInstanceOrder(name string, item peer.ConfigItem) {
	if name != i.cfg.Name || item.Value().Text() != orderText(i.seat.Incarnation) {
		return
	}
	i.events.Add(event.Config{Subject: "instance/" + name, Decision: "instance_drains", Evidence: "operator's order"})
	close(i.drainOrdered)
}

// endLoansWithoutSeat ends the loans to instances that no longer hold a seat.
func (i *Instance) endLoansWithoutSeat() {
	holders := map[string]bool{}
	for _, seat := range i.node.Seats() {
		holders[seat.Name] = true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, w := range i.groups {
		for _, shares := range w.shares {
			shares.RetainLoans(func(peer string) bool { return holders[peer] })
		}
	}
}

// checkSeat stops the instance if its seat was freed, or is held by another instance or a later run of this one.
//
// Its share of the connections may then be in use elsewhere.
func (i *Instance) checkSeat(item peer.ConfigItem) {
	number, seat, ok := peer.ParseSeat(item)
	if !ok || number != i.seatNumber || seat == i.seat || seat.Incarnation < i.seat.Incarnation && seat.Name == i.seat.Name {
		return
	}
	err := fault.New(fault.Config{
		Kind:    fault.KindStale,
		Message: "the seat of this instance was freed while its peers could not reach it",
		Remedy:  "start the instance again; it claims a new seat",
	})
	select {
	case i.evicted <- err:
	default:
	}
}
