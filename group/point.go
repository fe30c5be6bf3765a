package group

import "fmt"

// Term numbers the periods between changes of the primary, also called epochs; 0 means that no term is known.
type Term uint64

// Position counts log records from the start of the group's log; 0 is the empty log.
type Position uint64

// Point is a position in the log as written in one term.
type Point struct {
	term     Term
	position Position
}

// NewPoint returns the point at position in term.
func NewPoint(term Term, position Position) Point {
	return Point{term: term, position: position}
}

// Term returns the term in which the position was written.
func (p Point) Term() Term { return p.term }

// Position returns the number of log records up to the point.
func (p Point) Position() Position { return p.position }

// IsZero reports whether the point is unset.
func (p Point) IsZero() bool { return p == Point{} }

// Less reports whether p precedes q in log order, by term and then by position.
func (p Point) Less(q Point) bool {
	if p.term != q.term {
		return p.term < q.term
	}
	return p.position < q.position
}

// String returns the point as "term/position".
func (p Point) String() string {
	return fmt.Sprintf("%d/%d", p.term, p.position)
}
