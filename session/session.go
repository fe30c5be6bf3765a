package session

import (
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// Config describes a session at the time it connects; Floor is zero without a token.
type Config struct {
	ConnectedAt time.Time
	Floor       group.Point
}

// Session tracks the floor of one caller's session in one log; it is not safe for concurrent use.
//
// A session whose database moves to another group has a Session for each log.
type Session struct {
	connectedAt time.Time
	floor       group.Point
	floorAt     time.Time
	hasFloor    bool
}

// New returns a session; if Floor is zero, a probe must supply the first floor.
func New(cfg Config) *Session {
	return &Session{
		connectedAt: cfg.ConnectedAt,
		floor:       cfg.Floor,
		floorAt:     cfg.ConnectedAt,
		hasFloor:    !cfg.Floor.IsZero(),
	}
}

// ConnectedAt returns the earliest time at which a probe that supplies a floor may be sent.
func (s *Session) ConnectedAt() time.Time { return s.connectedAt }

// HasFloor reports whether the session has a floor.
func (s *Session) HasFloor() bool { return s.hasFloor }

// Floor returns the floor and the time by which the primary had reached it.
func (s *Session) Floor() (group.Point, time.Time) { return s.floor, s.floorAt }

// InitFloor sets the floor to point if the session has none, and reports whether the probe could supply a floor.
//
// The point is that of a probe of the primary, sent at sentAt. A probe that was
// sent before the session connected cannot supply a floor, since an earlier write
// of the session may lie above its point.
func (s *Session) InitFloor(point group.Point, sentAt time.Time) bool {
	if sentAt.Before(s.connectedAt) {
		return false
	}
	if !s.hasFloor {
		s.floor = point
		s.floorAt = sentAt
		s.hasFloor = true
	}
	return true
}

// Raise lifts the floor to point, reached by the primary at time at; a lower point changes nothing.
func (s *Session) Raise(point group.Point, at time.Time) {
	if s.hasFloor && !s.floor.Less(point) {
		return
	}
	s.floor = point
	s.floorAt = at
	s.hasFloor = true
}

// Resolve translates the floor into the newest term of h.
//
// It fails with KindLostWrite if a failover lost the write at the floor or if
// the floor's term is older than h retains. It then discards the floor, so that
// the loss is reported once and a new probe must supply the next floor. It fails
// with KindNoPrimary if the floor's term is newer than h.
func (s *Session) Resolve(h group.History, now time.Time) (group.Point, error) {
	point, resolution := h.Resolve(s.floor)
	switch resolution {
	case group.ResolutionSurvived:
		return point, nil
	case group.ResolutionAhead:
		return group.Point{}, fault.New(fault.Config{
			Kind:    fault.KindNoPrimary,
			Message: "the session has observed log point " + s.floor.String() + ", whose term this instance does not know yet",
			Remedy:  "try again within a second",
		})
	}
	lost := s.floor
	s.hasFloor = false
	s.floor = group.Point{}
	s.connectedAt = now
	return group.Point{}, fault.New(fault.Config{
		Kind:    fault.KindLostWrite,
		Message: "a write up to " + lost.String() + " was lost in a failover",
		Remedy:  "check the session's latest writes and repeat those that are missing",
	})
}
