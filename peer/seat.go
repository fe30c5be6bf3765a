package peer

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/monsoontiller/monsoontiller/membership"
)

// SeatPrefix is the prefix of the configuration keys of seats.
const SeatPrefix = "seat/"

// Seat names the instance that holds a seat and its incarnation; a seat without a name is free.
type Seat struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	// LeaseMillis and Seats are settings that must be equal on all instances.
	LeaseMillis int64 `json:"lease_ms"`
	Seats       int   `json:"seats"`
}

// Agrees reports whether two holders have equal values of the settings that must be equal on all instances.
func (s Seat) Agrees(other Seat) bool {
	return s.LeaseMillis == other.LeaseMillis && s.Seats == other.Seats
}

// SeatKey returns the configuration key of a seat.
func SeatKey(number uint32) string { return SeatPrefix + strconv.FormatUint(uint64(number), 10) }

// Encode returns the seat as the text of its configuration item.
func (s Seat) Encode() string {
	text, err := json.Marshal(s)
	if err != nil {
		return "{}"
	}
	return string(text)
}

// ParseSeat returns the number and the holder of the seat in a configuration item; ok is false for other items.
func ParseSeat(item ConfigItem) (number uint32, seat Seat, ok bool) {
	rest, ok := strings.CutPrefix(item.Key(), SeatPrefix)
	if !ok {
		return 0, Seat{}, false
	}
	n, err := strconv.ParseUint(rest, 10, 32)
	if err != nil || json.Unmarshal([]byte(item.Value().Text()), &seat) != nil {
		return 0, Seat{}, false
	}
	return uint32(n), seat, true
}

// recordSeatLocked records the seat in item, if any, and adds its holder to the roster if the holder is unknown.
func (n *Node) recordSeatLocked(item ConfigItem) {
	number, seat, ok := ParseSeat(item)
	if !ok {
		return
	}
	n.seats[number] = seat
	if seat.Name == "" || seat.Name == n.cfg.Self.Name() {
		return
	}
	if _, known := n.roster.Presences().Get(seat.Name); known {
		return
	}
	id := membership.NewIdentity(membership.IdentityConfig{
		Seat:        number,
		Incarnation: seat.Incarnation,
		Name:        seat.Name,
		PeerAddress: seat.PeerAddress,
		DataCentre:  seat.DataCentre,
	})
	presence := membership.NewPresence(id, membership.StateAlive)
	n.roster.Apply(membership.NewItem(seat.Name, membership.Revision(seat.Incarnation), presence))
}

// Seats returns the seats that are held.
func (n *Node) Seats() map[uint32]Seat {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[uint32]Seat{}
	for number, seat := range n.seats {
		if seat.Name != "" {
			out[number] = seat
		}
	}
	return out
}

// witnessesLocked returns the instances of which a majority must hold a revision before Replicate returns.
func (n *Node) witnessesLocked() []string {
	var names []string
	for _, seat := range n.seats {
		if seat.Name != "" {
			names = append(names, seat.Name)
		}
	}
	sort.Strings(names)
	candidates := membership.Rank("configuration", names)
	return candidates[:min(len(candidates), membership.WitnessCount)]
}
