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

// loan describes the connections to one endpoint that this run has borrowed from a peer.
type loan = peer.Loan

func termOf(term uint64) group.Term { return group.Term(term) }

// ItemApplied applies a configuration item.
func (b *backend) ItemApplied(item peer.ConfigItem) { b.instance.itemApplied(item) }

// PeerChanged ends the loans to peers that have left the fleet.
func (b *backend) PeerChanged() {
	i := b.instance
	left := map[string]bool{}
	for _, p := range i.node.Presences() {
		left[p.Identity().Name()] = p.State() == membership.StateLeft
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, w := range i.groups {
		for _, shares := range w.shares {
			for name, hasLeft := range left {
				if hasLeft {
					shares.EndLoan(name)
				}
			}
		}
	}
}

func revisionText(item peer.ConfigItem) string {
	return strconv.FormatUint(uint64(item.Revision()), 10)
}

// orderText returns the text that orders the run of an instance with that incarnation to leave.
func orderText(incarnation uint64) string { return fmt.Sprintf("%s %d", orderLeave, incarnation) }

// configService polls the platform's table for changes of the configuration.
type configService struct {
	instance      *Instance
	configuration *table.Configuration
}

// Name returns the service's name.
func (s *configService) Name() string { return "configuration" }

// Run polls the table until ctx ends or the instance loses its seat.
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

// interval returns the interval between polls. It grows with the number of instances, so that together they read the table
// at a bounded rate.
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
	s.instance.node.TableRead(sentAt, items)
}

// accept writes a configuration change, and returns once a majority of the witnesses has received it.
func (i *Instance) accept(ctx context.Context, change table.Change) (peer.ConfigItem, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	item, err := table.NewConfiguration(i.cfg.Platform).Accept(ctx, change)
	if err != nil {
		return peer.ConfigItem{}, err
	}
	return item, i.node.Replicate(ctx, item)
}
