package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/table"
)

// claimSeat claims a seat for this run: the one that an earlier run of the instance held, or a free one.
//
// It retries until ctx ends, since an instance without a seat has no share of the connections. If the settings differ from
// those of other instances, it fails with KindInvalid, with the number of the seat that it has claimed.
func claimSeat(ctx context.Context, cfg Config, self peer.Seat) (uint32, table.ConfigItem, error) {
	configuration := table.NewConfiguration(cfg.Platform)
	for {
		number, item, err := claimOnce(ctx, configuration, cfg, self)
		if err == nil {
			err = checkAgreement(ctx, cfg, self)
		}
		if err == nil || fault.KindOf(err) == fault.KindInvalid {
			return number, item, err
		}
		_ = cfg.Logger.Log("level", "warn", "msg", "no seat yet", "error", err.Error())
		select {
		case <-ctx.Done():
			return 0, item, err
		case <-time.After(retryPause):
		}
	}
}

func claimOnce(ctx context.Context, configuration *table.Configuration, cfg Config, self peer.Seat) (uint32, table.ConfigItem, error) {
	// A new Configuration polls all items, not only those that have changed.
	fresh := table.NewConfiguration(cfg.Platform)
	items, err := fresh.Poll(ctx)
	if err != nil {
		return 0, table.ConfigItem{}, err
	}
	number, base, err := chooseSeat(items, cfg.Seats, self.Name)
	if err != nil {
		return 0, table.ConfigItem{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	item, err := configuration.Accept(ctx, table.Change{
		Key:       peer.SeatKey(number),
		Text:      self.Encode(),
		Base:      base,
		RequestID: requestID(),
		Author:    self.Name,
		Now:       time.Now(),
	})
	return number, item, err
}

// checkAgreement compares the settings that must be the same on all instances with those recorded in the seats.
//
// It reads the seats after the claim: of two instances that start concurrently
// with different settings, at least one then sees the seat of the other. It fails
// with KindInvalid if settings differ.
func checkAgreement(ctx context.Context, cfg Config, self peer.Seat) error {
	items, err := table.NewConfiguration(cfg.Platform).Poll(ctx)
	if err != nil {
		return err
	}
	for _, item := range items {
		_, seat, ok := peer.ParseSeat(item)
		if !ok || seat.Name == "" || seat.Name == self.Name || seat.Agrees(self) {
			continue
		}
		return fault.New(fault.Config{
			Kind:    fault.KindInvalid,
			Message: fmt.Sprintf("lease or instance_limit differ from those of %s (%d ms, %d)", seat.Name, seat.LeaseMillis, seat.Seats),
			Remedy:  "set the same values on every instance; stop the whole fleet to change them",
		})
	}
	return nil
}

// chooseSeat returns the seat to claim for an instance and the revision of its item. It fails with KindOverloaded if no
// seat is free.
func chooseSeat(items []table.ConfigItem, seats int, name string) (uint32, membership.Revision, error) {
	held := map[uint32]peer.Seat{}
	revisions := map[uint32]membership.Revision{}
	for _, item := range items {
		if number, seat, ok := peer.ParseSeat(item); ok {
			held[number] = seat
			revisions[number] = item.Revision()
		}
	}
	for number, seat := range held {
		if seat.Name == name && int(number) <= seats {
			return number, revisions[number], nil
		}
	}
	for number := uint32(1); int(number) <= seats; number++ {
		if held[number].Name == "" {
			return number, revisions[number], nil
		}
	}
	return 0, 0, fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: "all seats are held by other instances",
		Remedy:  "stop an instance, wait a minute after the crash of one, or raise instance_limit on every instance",
	})
}

// releaseSeat frees a seat if it is still held by the given run.
func releaseSeat(ctx context.Context, client *table.Client, number uint32, holder peer.Seat, author string) error {
	configuration := table.NewConfiguration(client)
	items, err := configuration.Poll(ctx)
	if err != nil {
		return err
	}
	for _, item := range items {
		n, seat, ok := peer.ParseSeat(item)
		if !ok || n != number || seat != holder {
			continue
		}
		_, err := configuration.Accept(ctx, table.Change{
			Key:       item.Key(),
			Text:      peer.Seat{}.Encode(),
			Base:      item.Revision(),
			RequestID: requestID(),
			Author:    author,
			Now:       time.Now(),
		})
		return err
	}
	return nil
}

// reaper frees the seats of instances that have been dead, or have left, for longer than seatGrace.
type reaper struct {
	instance *Instance
	// deadSince is when this instance first saw the holder of a seat as dead or left, by the holder's name.
	deadSince map[string]time.Time
}

// Name returns the service's name.
func (r *reaper) Name() string { return "reaper" }

// Run checks the seats every second until ctx ends.
func (r *reaper) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.freeDeadSeats(ctx, clock.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *reaper) freeDeadSeats(ctx context.Context, now time.Time) {
	dead := map[string]bool{}
	for _, p := range r.instance.node.Presences() {
		if p.State() != membership.StateAlive {
			dead[p.Identity().Name()] = true
		}
	}
	for number, seat := range r.instance.node.Seats() {
		if !dead[seat.Name] {
			delete(r.deadSince, seat.Name)
			continue
		}
		if r.deadSince[seat.Name].IsZero() {
			r.deadSince[seat.Name] = now
		}
		if now.Sub(r.deadSince[seat.Name]) < seatGrace || !r.instance.isFirst("reaper") {
			continue
		}
		r.free(ctx, number, seat)
	}
}

func (r *reaper) free(ctx context.Context, number uint32, seat peer.Seat) {
	i := r.instance
	if err := releaseSeat(ctx, i.cfg.Platform, number, seat, i.cfg.Name); err != nil {
		return
	}
	i.events.Add(event.Config{
		Subject:  "instance/" + seat.Name,
		Decision: "seat_freed",
		Evidence: "declared dead by its peers for longer than " + seatGrace.String(),
	})
}
