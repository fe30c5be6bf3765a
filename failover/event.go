package failover

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Tick makes the machine check its timeouts.
type Tick struct{}

// Probed is the answer of a member to a probe, a fence or a promotion.
type Probed struct {
	Status group.Status
}

// ProbeFailed reports that a member did not answer; Refused marks a connection that was actively refused or reset.
type ProbeFailed struct {
	Endpoint string
	Refused  bool
}

// View reports whether another instance has lost the primary of Term.
type View struct {
	Instance string
	Term     group.Term
	Lost     bool
}

// Fleet reports the number of other instances believed alive and this instance's rank among those that may promote.
//
// The instance of rank 0 starts first.
type Fleet struct {
	Others int
	Rank   int
}

// ClaimResult is the answer of the table to a claim; Term is the term that the table holds, or 0 if not known.
type ClaimResult struct {
	Attempt string
	Outcome ClaimOutcome
	Term    group.Term
	// Orders are the promotions that earlier attempts have recorded, oldest first.
	Orders []Order
	// Interrupted means that an attempt of another instance may have ordered a promotion that it could not record.
	Interrupted bool
}

// Revoked reports that every instance has ended its lease of the old term for Attempt.
type Revoked struct {
	Attempt string
}

// PromotionAnswered reports the outcome of a Promote action, if Config.AnsweredPromotions is set.
type PromotionAnswered struct {
	Attempt  string
	Endpoint string
	Outcome  PromotionOutcome
}

// Superseded reports that the store counts a promotion that the primary of Term does not survive, whose effect is not known and
// whose attempt has had its time: no instance can hold a lease on the primary by the store.
type Superseded struct {
	Endpoint string
	Term     group.Term
}

// Leaving lists the members that are to receive no new requests.
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
func (Superseded) isEvent()  {}

func (PromotionAnswered) isEvent() {}

// PromotionOutcome is what is known of the effect of a promotion order.
type PromotionOutcome uint8

// The outcomes of a promotion order.
const (
	// PromotionNotSent means that the order has had no effect and will have none.
	PromotionNotSent PromotionOutcome = iota
	// PromotionAccepted means that the member becomes primary, unless it fails first.
	PromotionAccepted
	// PromotionRefused means that the member does not run, so that the order has no effect.
	PromotionRefused
	// PromotionUnanswered means that the order may have an effect, now or later.
	PromotionUnanswered
	// PromotionPreempted means that the order was not sent, since another attempt or instance has claimed the promotion.
	PromotionPreempted
)

// String returns the outcome in snake case.
func (o PromotionOutcome) String() string {
	return [...]string{"not_sent", "accepted", "refused", "unanswered", "preempted"}[o]
}

// ClaimOutcome is the outcome of a claim.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	// ClaimWon means that the table records the claim for this attempt.
	ClaimWon ClaimOutcome = iota
	// ClaimTaken means that the table holds this term or a higher one for another attempt.
	ClaimTaken
	// ClaimUnavailable means that the table did not answer.
	ClaimUnavailable
)

// Action is an output of the machine, which its adapter carries out.
type Action interface{ isAction() }

// QueryViews requests the views of the other instances on the primary of Term.
type QueryViews struct {
	Term group.Term
}

// Claim records in the table that Attempt claims Term.
type Claim struct {
	Term    group.Term
	Attempt string
}

// Fence requests a member's promise of Term to Attempt; the answer returns as Probed.
type Fence struct {
	Endpoint string
	Term     group.Term
	Attempt  string
}

// Revoke requests that all instances end the leases that an attempt must not leave in force; Revoked follows if all did.
//
// Those are the leases of terms up to Term; above Reported, only those of the members Ordered.
type Revoke struct {
	Term    group.Term
	Attempt string
	// Reported is the newest term that a member has reported.
	Reported group.Term
	// Ordered are the members that earlier attempts may have promoted to a term above Reported.
	Ordered []string
}

// Promote makes a member the primary of Term for Attempt; the answer returns as Probed.
type Promote struct {
	Endpoint string
	Term     group.Term
	Attempt  string
	// Orders are the promotions to be recorded before this one is sent: those of earlier attempts whose effect is not known,
	// and this one, which is the last.
	Orders []Order
}

// Release frees a member from its promise to Attempt, which was abandoned.
type Release struct {
	Endpoint string
	Term     group.Term
	Attempt  string
}

// Withdraw ends an attempt: none of its orders may be sent from now on, except the releases that follow.
type Withdraw struct {
	Attempt string
}

// Publish records the primary of Term in the table once the table is reachable.
type Publish struct {
	Term     group.Term
	Endpoint string
}

// Explain reports a decision with its evidence.
type Explain struct {
	Decision Decision
	Evidence string
}

func (QueryViews) isAction() {}
func (Claim) isAction()      {}
func (Fence) isAction()      {}
func (Promote) isAction()    {}
func (Revoke) isAction()     {}
func (Release) isAction()    {}
func (Withdraw) isAction()   {}
func (Publish) isAction()    {}
func (Explain) isAction()    {}

// Decision is the name of a decision in explanations.
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
	DecisionAwaitLog   Decision = "promotion_waits_for_log"
	// DecisionAwaitReplica defers a switchover until a replica keeps up.
	DecisionAwaitReplica Decision = "switchover_waits_for_replica"
)

// Config describes the machine of one group on one instance.
type Config struct {
	Group    string
	Instance string
	Members  []string
	// Lease is the longest duration of a lease on any instance.
	Lease time.Duration
	// SuspectAfter is how long the primary must leave probes unanswered before it is suspected.
	SuspectAfter time.Duration
	// RefusedAfter is how long the primary must refuse connections before it is suspected.
	RefusedAfter time.Duration
	// Stagger is the delay per rank before an instance starts an attempt.
	Stagger time.Duration
	// StepTimeout is the time after which an unanswered step is repeated, and the pause after an abandoned attempt.
	StepTimeout time.Duration
	// TakeOverAfter is the time without a resulting primary after which an attempt counts as failed. It also bounds the
	// time that a group stays without a primary after a demotion, or without a known one after the machine's start.
	TakeOverAfter time.Duration
	// CatchUpTimeout is how long a switchover waits for a replica to hold the whole log of the old primary.
	CatchUpTimeout time.Duration
	// ViewInterval is the time after which views are queried again while a majority has not confirmed the loss; with 0, they
	// are queried again only after StepTimeout.
	ViewInterval time.Duration
	// ClaimTimeout bounds the wait for the table; a value below StepTimeout, such as 0, means StepTimeout.
	ClaimTimeout time.Duration
	// SequentialTerms makes every attempt claim the term after the present one and after those that earlier orders may have
	// used, for platforms that number the terms themselves; otherwise each attempt claims a new term.
	SequentialTerms bool
	// ExcludeDemoted excludes the old primary from promotion, for platforms that promote only another member.
	ExcludeDemoted bool
	// ReleaseAbandoned makes an abandoned attempt release the replicas while the old primary is not demoted, for
	// platforms on which members do not keep a promise themselves.
	ReleaseAbandoned bool
	// RequiredReplicas is the number of replicas that receive a write before it is acknowledged. Above 0, a member is promoted
	// only if it is known to hold all acknowledged writes.
	RequiredReplicas int
	// AnsweredPromotions means that a PromotionAnswered event follows every Promote action; the machine then has one
	// promotion order in flight at a time.
	AnsweredPromotions bool
	// ClaimRequired makes the machine wait for the claim before it fences; otherwise both run concurrently.
	ClaimRequired bool
}
