package pool_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

// TestMain fixes the seed of property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("5000")
	}
	os.Exit(m.Run())
}

// seat is the run of an instance in the model.
type seat struct {
	name             string
	incarnation      uint64
	shares           *pool.Shares
	knownIncarnation [seatCount]uint64
}

// message is a borrow call, its answer or a report in flight.
type message struct {
	kind     string
	from, to int
	// borrowerIncarnation is the run whose call an answer answers.
	borrowerIncarnation uint64
	senderIncarnation   uint64
	lenderIncarnation   uint64
	sequence            uint64
	count               int
}

const (
	endpointLimit = 11
	seatCount     = 3
)

// fleet is a set of seats whose messages may be lost, delayed and reordered, and whose runs may end.
type fleet struct {
	seats    []*seat
	inFlight []message
	runs     uint64
}

func (f *fleet) start(i int) {
	f.runs++
	var priorBorrowers []string
	for j := range seatCount {
		if j != i {
			priorBorrowers = append(priorBorrowers, seatName(j))
		}
	}
	if f.runs <= seatCount {
		priorBorrowers = nil
	}
	f.seats[i] = &seat{name: seatName(i), incarnation: f.runs, shares: pool.NewShares(pool.SharesConfig{
		Limit: endpointLimit, Seats: seatCount, Seat: i + 1, PriorBorrowers: priorBorrowers, Incarnation: f.runs,
	})}
}

// loanReport returns the content of a message as its receiver applies it.
func (m message) loanReport() pool.LoanReport {
	return pool.LoanReport{Peer: seatName(m.from), Incarnation: m.senderIncarnation, LenderIncarnation: m.lenderIncarnation, Sequence: m.sequence, Count: m.count}
}

// send puts a message from one seat to another in flight.
func (f *fleet) send(m message) {
	from := f.seats[m.from]
	m.senderIncarnation = from.incarnation
	m.lenderIncarnation = from.knownIncarnation[m.to]
	f.inFlight = append(f.inFlight, m)
}

func seatName(i int) string { return string(rune('a' + i)) }

func (f *fleet) borrow(t *rapid.T) {
	i, j := pair(t)
	s := f.seats[i]
	sequence, ok := s.shares.BeginBorrow(seatName(j))
	if !ok {
		return
	}
	f.send(message{kind: "borrow", from: i, to: j, sequence: sequence, count: 2})
}

func (f *fleet) report(t *rapid.T) {
	i, j := pair(t)
	s := f.seats[i]
	if h, ok := s.shares.ReportableHolding(seatName(j)); ok {
		f.send(message{kind: "report", from: i, to: j, sequence: h.Sequence(), count: h.Count()})
	}
}

func pair(t *rapid.T) (int, int) {
	i := rapid.IntRange(0, seatCount-1).Draw(t, "from")
	j := rapid.IntRange(1, seatCount-1).Draw(t, "to")
	return i, (i + j) % seatCount
}

// deliver delivers or loses a random message in flight.
//
// The loss of a borrow call or its answer ends the call without a grant; a lost call
// may still arrive late.
func (f *fleet) deliver(t *rapid.T, lose bool) {
	if len(f.inFlight) == 0 {
		return
	}
	k := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
	m := f.inFlight[k]
	f.inFlight = append(f.inFlight[:k], f.inFlight[k+1:]...)
	to := f.seats[m.to]
	switch {
	case m.kind == "borrow" && lose:
		f.completeBorrow(m.from, m.to, m.senderIncarnation, 0)
		m.kind = "late"
		f.inFlight = append(f.inFlight, m)
	case m.kind == "borrow":
		granted := to.shares.Lend(m.loanReport(), to.shares.Usable())
		f.send(message{kind: "answer", from: m.to, to: m.from, borrowerIncarnation: m.senderIncarnation, count: granted})
	case m.kind == "late":
		to.shares.Lend(m.loanReport(), to.shares.Usable())
	case m.kind == "answer" && lose:
		f.completeBorrow(m.to, m.from, m.borrowerIncarnation, 0)
	case m.kind == "answer":
		f.completeBorrow(m.to, m.from, m.borrowerIncarnation, m.count)
	case m.kind == "report" && !lose:
		to.knownIncarnation[m.from] = max(to.knownIncarnation[m.from], m.senderIncarnation)
		to.shares.ApplyReport(m.loanReport())
	}
}

// completeBorrow completes a borrow call if the run that made it still exists.
func (f *fleet) completeBorrow(borrower, lender int, incarnation uint64, granted int) {
	if s := f.seats[borrower]; s.incarnation == incarnation {
		s.shares.CompleteBorrow(seatName(lender), granted)
	}
}

func (f *fleet) repay(t *rapid.T) {
	s := f.seats[rapid.IntRange(0, seatCount-1).Draw(t, "seat")]
	lender, n := s.shares.RepayableLoan()
	if lender == "" {
		return
	}
	s.shares.Repay(lender, n)
}

func (f *fleet) total() int {
	total := 0
	for _, s := range f.seats {
		total += s.shares.Usable()
	}
	return total
}

// TestSharesNeverExceedLimit checks the limit under lost, late and reordered messages and restarts.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{seats: make([]*seat, seatCount)}
		for i := range seatCount {
			f.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"borrow":  f.borrow,
			"report":  f.report,
			"deliver": func(t *rapid.T) { f.deliver(t, false) },
			"lose":    func(t *rapid.T) { f.deliver(t, true) },
			"repay":   f.repay,
			"restart": func(t *rapid.T) { f.start(rapid.IntRange(0, seatCount-1).Draw(t, "seat")) },
			"": func(t *rapid.T) {
				if total := f.total(); total > endpointLimit {
					t.Fatalf("%d connections may be open, the endpoint allows %d", total, endpointLimit)
				}
			},
		})
	})
}

// newSeat returns the shares of the first of three seats of 12 connections.
func newSeat(incarnation uint64, priorBorrowers ...string) *pool.Shares {
	return pool.NewShares(pool.SharesConfig{Limit: 12, Seats: 3, Seat: 1, Incarnation: incarnation, PriorBorrowers: priorBorrowers})
}

func TestReportToEarlierRunConfirmsNoLoan(t *testing.T) {
	restarted := newSeat(2, "b")
	restarted.ApplyReport(pool.LoanReport{Peer: "b", Incarnation: 1, LenderIncarnation: 1, Count: 0})
	if got := restarted.Usable(); got != 2 {
		t.Errorf("usable = %d after a report to an earlier run, want 2 of 4", got)
	}
	restarted.ApplyReport(pool.LoanReport{Peer: "b", Incarnation: 1, LenderIncarnation: 2, Sequence: 1, Count: 1})
	if got := restarted.Usable(); got != 3 {
		t.Errorf("usable = %d after a report of 1 lent, want 3 of 4", got)
	}
}

func TestNoReportWhileCallIsPending(t *testing.T) {
	s := newSeat(1)
	if _, ok := s.BeginBorrow("b"); !ok {
		t.Fatal("the first call was rejected")
	}
	if _, ok := s.ReportableHolding("b"); ok {
		t.Error("ReportableHolding succeeded while a call is pending")
	}
	s.CompleteBorrow("b", 1)
	if h, ok := s.ReportableHolding("b"); !ok || h.Count() != 1 || h.Sequence() != 1 {
		t.Errorf("report = %+v, %v; want 1 held after call 1", h, ok)
	}
}

func TestNewRunOfBorrowerEndsLoan(t *testing.T) {
	s := newSeat(1)
	if got := s.Lend(pool.LoanReport{Peer: "b", Incarnation: 1, LenderIncarnation: 1, Sequence: 1, Count: 2}, 4); got != 2 {
		t.Fatalf("lent %d, want 2", got)
	}
	s.ApplyReport(pool.LoanReport{Peer: "b", Incarnation: 2, LenderIncarnation: 1})
	if got := s.Usable(); got != s.Own() {
		t.Errorf("usable = %d after the borrower's run ended, want %d", got, s.Own())
	}
}
