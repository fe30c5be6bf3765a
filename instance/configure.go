package instance

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/table"
)

// loan is what this run holds of a peer's share.
type loan = peer.Loan

func termOf(term uint64) group.Term { return group.Term(term) }

// ItemApplied brings a configuration item into force.
func (b *backend) ItemApplied(item peer.ConfigItem) { b.instance.itemApplied(item) }

// PeerChanged lets go of what a peer that is known to have ended held.
func (b *backend) PeerChanged() {
	i := b.instance
	gone := map[string]bool{}
	for _, p := range i.node.Presences() {
		gone[p.Identity().Name()] = p.State() == membership.StateLeft
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, w := range i.groups {
		for _, shares := range w.shares {
			for name, left := range gone {
				if left {
					shares.Gone(name)
				}
			}
		}
	}
}

func revisionText(item peer.ConfigItem) string {
	return strconv.FormatUint(uint64(item.Revision()), 10)
}

// orderText is the order for one run of an instance to leave.
func orderText(incarnation uint64) string { return fmt.Sprintf("%s %d", orderLeave, incarnation) }

// configService reads the table for changes.
type configService struct {
	instance      *Instance
	configuration *table.Configuration
}

// Name returns the service's name.
func (s *configService) Name() string { return "configuration" }

// Run polls the table until ctx ends, or until the instance's seat is lost.
func (s *configService) Run(ctx context.Context) error {
	for {
		s.poll(ctx)
		select {
		case <-time.After(s.interval()):
		case err := <-s.instance.evicted:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// interval grows with the fleet, so that all instances together read the table at a bounded rate.
func (s *configService) interval() time.Duration {
	_, others := s.instance.rank("poll")
	return max(pollInterval, time.Duration(others+1)*pollPerInstance)
}

func (s *configService) poll(ctx context.Context) {
	sentAt := clock.Now()
	items, err := s.configuration.Poll(ctx)
	if err != nil {
		return
	}
	s.instance.node.ReadTable(sentAt, items)
}

// accept writes a configuration change and returns once it is in force on a majority of the instances.
func (i *Instance) accept(ctx context.Context, change table.Change) (peer.ConfigItem, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	item, err := table.NewConfiguration(i.cfg.Platform).Accept(ctx, change)
	if err != nil {
		return peer.ConfigItem{}, err
	}
	return item, i.node.Spread(ctx, item)
}
