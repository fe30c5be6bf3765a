package pool

// SharesConfig divides an endpoint's connections between seats, which instances hold.
type SharesConfig struct {
	Limit int
	Seats int
	// Seat is this instance's seat, from 1.
	Seat int
	// Incarnation numbers this run of the instance.
	Incarnation uint64
	// Others names the instances that may hold loans from an earlier run of this seat.
	Others []string
}

// Shares keeps how much of one endpoint's limit this instance may use.
//
// Each seat owns a fixed part of the limit; the parts add up to it. A seat may
// lend some of its part to another and does without until it is given back, so
// what all seats may use never exceeds the limit, whatever messages are lost. It
// is the escrow idea (O'Neil, 1986) with loans that end by return or by the end
// of the borrower's run, never by a clock. It is not safe for concurrent use.
type Shares struct {
	own         int
	incarnation uint64
	lent        map[string]loan
	borrowed    map[string]Holding
	unconfirmed map[string]bool
}

// loan is what a borrower's run holds of this seat, as of its call number sequence.
type loan struct {
	count       int
	incarnation uint64
	sequence    uint64
}

// NewShares returns the shares of a seat that has just been taken.
func NewShares(cfg SharesConfig) *Shares {
	s := &Shares{
		own:         cfg.Limit / cfg.Seats,
		incarnation: cfg.Incarnation,
		lent:        map[string]loan{},
		borrowed:    map[string]Holding{},
		unconfirmed: map[string]bool{},
	}
	if cfg.Seat <= cfg.Limit%cfg.Seats {
		s.own++
	}
	for _, name := range cfg.Others {
		s.unconfirmed[name] = true
	}
	return s
}

// Own returns the seat's part of the limit.
func (s *Shares) Own() int { return s.own }

// maxLent is the most that a seat lends in all; a new run of the seat does without it until it knows better.
func (s *Shares) maxLent() int { return s.own / 2 }

func (s *Shares) totalLent() int {
	total := 0
	for _, l := range s.lent {
		total += l.count
	}
	return total
}

// Usable returns how many connections this instance may hold now.
func (s *Shares) Usable() int {
	withheld := s.totalLent()
	if len(s.unconfirmed) > 0 {
		withheld = max(withheld, s.maxLent())
	}
	usable := s.own - withheld
	return usable + s.totalBorrowed()
}

func (s *Shares) totalBorrowed() int {
	total := 0
	for _, held := range s.borrowed {
		total += held.count
	}
	return total
}

// LoanReport is what a peer's run says of its dealings with this seat.
type LoanReport struct {
	Peer        string
	Incarnation uint64
	// Addressed is the run of this seat that the peer has heard of.
	Addressed uint64
	// Sequence numbers the peer's calls to this seat.
	Sequence uint64
	// Count is the number of connections asked for or held.
	Count int
}

// outdated reports whether r was meant for another run of this seat, or comes from an earlier run of the peer.
func (s *Shares) outdated(r LoanReport) bool {
	return r.Addressed != s.incarnation || r.Incarnation < s.lent[r.Peer].incarnation
}

// Lend grants a peer at most r.Count connections, out of those that are spare here, and returns how many.
//
// A call that arrives after a later one was heard of gets nothing.
func (s *Shares) Lend(r LoanReport, spare int) int {
	if s.outdated(r) || len(s.unconfirmed) > 0 || s.totalBorrowed() > 0 {
		return 0
	}
	held := s.lent[r.Peer]
	if r.Incarnation > held.incarnation {
		held = loan{incarnation: r.Incarnation}
	}
	if r.Sequence <= held.sequence {
		return 0
	}
	granted := max(0, min(r.Count, spare, s.maxLent()-s.totalLent()))
	held.count += granted
	held.sequence = r.Sequence
	s.lent[r.Peer] = held
	return granted
}

// Reported takes a peer's word of what its run holds of this seat after its call number Sequence.
//
// A new run of the peer holds nothing that an earlier run borrowed. The word
// lowers a loan whose answer or return was lost, and restores what an earlier run
// of this seat has lent.
func (s *Shares) Reported(r LoanReport) {
	if s.outdated(r) {
		return
	}
	held := s.lent[r.Peer]
	if r.Incarnation > held.incarnation {
		held = loan{incarnation: r.Incarnation}
	}
	if r.Sequence < held.sequence {
		return
	}
	if s.unconfirmed[r.Peer] || r.Count < held.count {
		held.count = r.Count
	}
	held.sequence = r.Sequence
	s.lent[r.Peer] = held
	delete(s.unconfirmed, r.Peer)
}

// Gone notes that a peer's connections have all ended for certain.
func (s *Shares) Gone(peer string) {
	delete(s.lent, peer)
	delete(s.unconfirmed, peer)
}

// Retain lets go of what is lent to peers for which holds reports false: their connections have all ended.
func (s *Shares) Retain(holds func(peer string) bool) {
	for peer := range s.lent {
		if !holds(peer) {
			s.Gone(peer)
		}
	}
	for peer := range s.unconfirmed {
		if !holds(peer) {
			s.Gone(peer)
		}
	}
}

// Holding is what this run holds of one lender.
type Holding struct {
	count    int
	sequence uint64
	calling  bool
}

// Count returns the number of connections held.
func (h Holding) Count() int { return h.count }

// Sequence returns the number of the last call to the lender that has ended.
func (h Holding) Sequence() uint64 { return h.sequence }

// Call begins a call to a lender and returns its number; ok is false while another call runs.
func (s *Shares) Call(lender string) (sequence uint64, ok bool) {
	held := s.borrowed[lender]
	if held.calling {
		return 0, false
	}
	held.calling = true
	s.borrowed[lender] = held
	return held.sequence + 1, true
}

// Called ends a call to a lender that granted n connections; a failed call grants none.
func (s *Shares) Called(lender string, n int) {
	held := s.borrowed[lender]
	held.calling = false
	held.sequence++
	held.count += n
	s.borrowed[lender] = held
}

// Repay takes up to n connections of a lender out of use, once they are closed.
func (s *Shares) Repay(lender string, n int) {
	held := s.borrowed[lender]
	held.count -= min(n, held.count)
	held.sequence++
	s.borrowed[lender] = held
}

// Debt returns the first lender, by name, of which this run holds connections, and how many.
func (s *Shares) Debt() (lender string, count int) {
	for name, held := range s.borrowed {
		if held.count > 0 && !held.calling && (lender == "" || name < lender) {
			lender = name
			count = held.count
		}
	}
	return lender, count
}

// Report returns what to tell a lender; ok is false while a call to it runs.
func (s *Shares) Report(lender string) (h Holding, ok bool) {
	held := s.borrowed[lender]
	return held, !held.calling
}
