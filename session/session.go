package session

import (
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// Config lists what is known of a session when it connects.
type Config struct {
	ConnectedAt time.Time
	Floor       group.Point
}

// Session tracks the floor of one caller's session; it is not safe for concurrent use.
type Session struct {
	connectedAt time.Time
	floor       group.Point
	floorAt     time.Time
	known       bool
}

// New returns a session; a zero Floor means that a probe must give the first one.
func New(cfg Config) *Session {
	return &Session{
		connectedAt: cfg.ConnectedAt,
		floor:       cfg.Floor,
		floorAt:     cfg.ConnectedAt,
		known:       !cfg.Floor.IsZero(),
	}
}

// ConnectedAt returns the time after which a probe must start to give a floor.
func (s *Session) ConnectedAt() time.Time { return s.connectedAt }

// Known reports whether the session has a floor.
func (s *Session) Known() bool { return s.known }

// Floor returns the floor and the time by which the primary had reached it.
func (s *Session) Floor() (group.Point, time.Time) { return s.floor, s.floorAt }

// Probed takes a position of the primary as the floor if the probe was sent after the session connected.
func (s *Session) Probed(point group.Point, sentAt time.Time) bool {
	if sentAt.Before(s.connectedAt) {
		return false
	}
	if !s.known {
		s.floor = point
		s.floorAt = sentAt
		s.known = true
	}
	return true
}

// Raise lifts the floor to point, reached by the primary at time at; a lower point changes nothing.
func (s *Session) Raise(point group.Point, at time.Time) {
	if s.known && !s.floor.Less(point) {
		return
	}
	s.floor = point
	s.floorAt = at
	s.known = true
}

// Resolve carries the floor into the newest term of h.
//
// It fails with KindLostWrite once when the floor names a write that a failover
// lost, and then asks for a fresh floor; it fails with KindNoPrimary when the
// floor names a term that this instance has not heard of yet.
func (s *Session) Resolve(h group.History, now time.Time) (group.Point, error) {
	point, fate := h.Resolve(s.floor)
	switch fate {
	case group.FateSurvived:
		return point, nil
	case group.FateAhead:
		return group.Point{}, fault.New(fault.Config{
			Kind:    fault.KindNoPrimary,
			Message: "the session has seen term " + s.floor.String() + " which this instance does not know yet",
			Remedy:  "try again within a second",
		})
	}
	lost := s.floor
	s.known = false
	s.floor = group.Point{}
	s.connectedAt = now
	return group.Point{}, fault.New(fault.Config{
		Kind:    fault.KindLostWrite,
		Message: "a write up to " + lost.String() + " was lost in a failover",
		Remedy:  "check the session's latest writes and enter again what is missing",
	})
}
