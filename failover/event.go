package failover

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Event is something that the machine learns.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct{}

// Probed is the answer of a member to a probe, a fence or a promotion.
type Probed struct {
	Status group.Status
}

// ProbeFailed says that a member did not answer; Refused marks a connection that was actively refused or reset.
type ProbeFailed struct {
	Endpoint string
	Refused  bool
}

// View is what another instance says of the primary of a term.
type View struct {
	Instance string
	Term     group.Term
	Lost     bool
}

// Fleet tells how many other instances are thought to be alive, and this one's place among those that may promote; 0 goes first.
type Fleet struct {
	Others int
	Rank   int
}

// ClaimResult is the table's answer to a claim.
type ClaimResult struct {
	Attempt string
	Outcome ClaimOutcome
	Term    group.Term
}

// Revoked says that every instance has ended its lease of the old term for this attempt.
type Revoked struct {
	Attempt string
}

// Leaving tells which members are to get no new work.
type Leaving struct {
	Endpoints []string
}

func (Tick) isEvent()        {}
func (Probed) isEvent()      {}
func (ProbeFailed) isEvent() {}
func (View) isEvent()        {}
func (Fleet) isEvent()       {}
func (ClaimResult) isEvent() {}
func (Leaving) isEvent()     {}
func (Revoked) isEvent()     {}

// ClaimOutcome says how a claim ended.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	// ClaimWon means that the table records the claim for this attempt.
	ClaimWon ClaimOutcome = iota
	// ClaimTaken means that the table holds this term or a higher one for another attempt.
	ClaimTaken
	// ClaimUnavailable means that the table gave no answer.
	ClaimUnavailable
)

// Action is something that the machine asks its adapter to do.
type Action interface{ isAction() }

// AskViews asks the other instances whether they have lost the primary of Term.
type AskViews struct {
	Term group.Term
}

// Claim records in the table that Attempt goes for Term.
type Claim struct {
	Term    group.Term
	Attempt string
}

// Fence asks a member to promise Term to Attempt; the answer comes back as Probed.
type Fence struct {
	Endpoint string
	Term     group.Term
	Attempt  string
}

// Revoke asks all instances to end their leases of terms up to Term; Revoked follows if all did.
type Revoke struct {
	Term    group.Term
	Attempt string
}

// Promote asks a member to lead Term for Attempt; the answer comes back as Probed.
type Promote struct {
	Endpoint string
	Term     group.Term
	Attempt  string
}

// Release lets a member go of its promise to Attempt, which was abandoned.
type Release struct {
	Endpoint string
	Term     group.Term
	Attempt  string
}

// Publish records the primary of Term in the table, when that can be reached.
type Publish struct {
	Term     group.Term
	Endpoint string
}

// Explain reports a decision with its evidence.
type Explain struct {
	Decision Decision
	Evidence string
}

func (AskViews) isAction() {}
func (Claim) isAction()    {}
func (Fence) isAction()    {}
func (Promote) isAction()  {}
func (Revoke) isAction()   {}
func (Release) isAction()  {}
func (Publish) isAction()  {}
func (Explain) isAction()  {}

// Decision names a decision in explanations.
type Decision string

// The decisions that are explained.
const (
	DecisionSuspect    Decision = "primary_suspected"
	DecisionSuspend    Decision = "promotion_suspended"
	DecisionClaim      Decision = "promotion_started"
	DecisionNoMajority Decision = "promotion_waits_for_majority"
	DecisionChoose     Decision = "primary_chosen"
	DecisionPromoted   Decision = "primary_promoted"
	DecisionAbandon    Decision = "promotion_abandoned"
	DecisionSwitchover Decision = "switchover_started"
)

// Config describes the machine of one group on one instance.
type Config struct {
	Group    string
	Instance string
	Members  []string
	// Lease is the longest validity of a lease on any instance.
	Lease time.Duration
	// SuspectAfter is how long the primary must be silent before it is suspected.
	SuspectAfter time.Duration
	// RefusedAfter is how long it must refuse connections before it is suspected.
	RefusedAfter time.Duration
	// Stagger is how much longer each rank waits before it starts.
	Stagger time.Duration
	// StepTimeout bounds each step before it is repeated.
	StepTimeout time.Duration
	// TakeOverAfter is how long another attempt may go without a primary.
	TakeOverAfter time.Duration
	// CatchUp is how long a switchover waits for a replica.
	CatchUp time.Duration
	// ClaimTimeout bounds the wait for the table; 0 means StepTimeout.
	ClaimTimeout time.Duration
	// Successor makes every attempt go for the term after the present one, as where the platform numbers the
	// terms; otherwise each attempt goes for a term of its own.
	Successor bool
	// KeepDemoted leaves the old primary out of the choice: the platform promotes only another member.
	KeepDemoted bool
	// ReleaseAbandoned lets replicas go of their promise to an abandoned attempt, where the old primary still leads
	// and members hold no promise of their own accord.
	ReleaseAbandoned bool
	// ClaimRequired makes the machine wait for the table before it fences; otherwise both go on at once.
	ClaimRequired bool
}
