package pool

// SharesConfig describes a seat: a numbered part of an endpoint's connection limit, held by one instance.
type SharesConfig struct {
	Limit int
	Seats int
	// Seat is the number of this instance's seat, from 1.
	Seat int
	// Incarnation is the number of this run of the instance.
	Incarnation uint64
	// PriorBorrowers lists the instances that may hold loans from an earlier run of this seat.
	PriorBorrowers []string
}

// Shares tracks how much of one endpoint's connection limit this instance may use.
//
// Each seat owns a fixed part of the limit; the parts add up to the limit. A seat
// may lend connections to another seat, and does not use them until they are
// returned, so all seats together never exceed the limit, whatever messages are
// lost. This is the escrow method (O'Neil, 1986), with loans that end by return or
// by the end of the borrower's run, never by a timeout. It is not safe for
// concurrent use.
type Shares struct {
	own         int
	incarnation uint64
	lent        map[string]loan
	borrowed    map[string]Holding
	// unconfirmed holds the prior borrowers whose loans this run of the seat does not know yet.
	unconfirmed map[string]bool
}

// loan is the number of connections that a borrower's run holds from this seat.
type loan struct {
	count       int
	incarnation uint64
	// sequence is the number of the last call or return of the borrower that count includes.
	sequence uint64
}

// NewShares returns the shares of a seat that has just been claimed.
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
	for _, name := range cfg.PriorBorrowers {
		s.unconfirmed[name] = true
	}
	return s
}

// Own returns the seat's part of the limit.
func (s *Shares) Own() int { return s.own }

// maxLent is the most that a seat lends in total.
//
// A new run of the seat does not use that many connections until all earlier loans
// are confirmed.
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

// LoanReport is a peer's request for connections of this seat, or its report of those that it holds.
type LoanReport struct {
	Peer        string
	Incarnation uint64
	// LenderIncarnation is the incarnation of this seat that the peer knows.
	LenderIncarnation uint64
	// Sequence is the number of the peer's call or, in a report, of its last call or return to this seat.
	Sequence uint64
	// Count is the number of connections requested or held.
	Count int
}

// outdated reports whether r is addressed to another run of this seat, or comes from an earlier run of the peer.
func (s *Shares) outdated(r LoanReport) bool {
	return r.LenderIncarnation != s.incarnation || r.Incarnation < s.lent[r.Peer].incarnation
}

// Lend lends a peer at most r.Count of the spare connections, and returns how many.
//
// A call that arrives after a later call or report of the peer is granted none. A
// seat lends none while it borrows, or while loans of an earlier run are unconfirmed.
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

// ApplyReport applies a peer's report of the connections that its run holds from this seat.
//
// A new run of the peer holds nothing that an earlier run borrowed. The report
// lowers a loan whose answer or return was lost, and restores a loan that an
// earlier run of this seat made.
func (s *Shares) ApplyReport(r LoanReport) {
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

// EndLoan ends the loan to a peer whose connections are all known to be closed.
func (s *Shares) EndLoan(peer string) {
	delete(s.lent, peer)
	delete(s.unconfirmed, peer)
}

// RetainLoans ends the loans to peers for which holds reports false: their connections are all closed.
func (s *Shares) RetainLoans(holds func(peer string) bool) {
	for peer := range s.lent {
		if !holds(peer) {
			s.EndLoan(peer)
		}
	}
	for peer := range s.unconfirmed {
		if !holds(peer) {
			s.EndLoan(peer)
		}
	}
}

// Holding is the number of connections that this run holds from one lender after its last call or return to the lender.
type Holding struct {
	count       int
	sequence    uint64
	callPending bool
}

// Count returns the number of connections held.
func (h Holding) Count() int { return h.count }

// Sequence returns the number of the last completed call or return to the lender.
func (h Holding) Sequence() uint64 { return h.sequence }

// BeginBorrow begins a call to a lender and returns its number; ok is false while another call is pending.
func (s *Shares) BeginBorrow(lender string) (sequence uint64, ok bool) {
	held := s.borrowed[lender]
	if held.callPending {
		return 0, false
	}
	held.callPending = true
	s.borrowed[lender] = held
	return held.sequence + 1, true
}

// CompleteBorrow completes a call to a lender that granted n connections; a failed call grants none.
func (s *Shares) CompleteBorrow(lender string, n int) {
	held := s.borrowed[lender]
	held.callPending = false
	held.sequence++
	held.count += n
	s.borrowed[lender] = held
}

// Repay records that up to n connections of a lender were closed and are returned to it.
func (s *Shares) Repay(lender string, n int) {
	held := s.borrowed[lender]
	held.count -= min(n, held.count)
	held.sequence++
	s.borrowed[lender] = held
}

// RepayableLoan returns a lender from which this run holds connections, and their number.
//
// It returns the first such lender by name to which no call is pending, or "" and 0.
func (s *Shares) RepayableLoan() (lender string, count int) {
	for name, held := range s.borrowed {
		if held.count > 0 && !held.callPending && (lender == "" || name < lender) {
			lender = name
			count = held.count
		}
	}
	return lender, count
}

// ReportableHolding returns the holding to report to a lender; ok is false while a call to it is pending.
func (s *Shares) ReportableHolding(lender string) (h Holding, ok bool) {
	held := s.borrowed[lender]
	return held, !held.callPending
}
