package quota

import "time"

// slots is the number of slots of a recent. More slots make the time for which an amount is kept more exact.
const slots = 5

// recent sums amounts over the last slots time slots: an amount is kept for slots - 1 to slots times the
// length of a slot.
type recent struct {
	length time.Duration
	// index is the number of the current slot.
	index   int64
	amounts [slots]float64
}

// setLength sets the length of a slot; elapsed is the time since the first slot began. What was kept counts as added now.
func (r *recent) setLength(length, elapsed time.Duration) {
	if r.length == length {
		return
	}
	sum := r.total()
	*r = recent{length: length, index: int64(elapsed / length)}
	r.add(sum)
}

// advance drops the amounts whose time is over when elapsed has passed since the first slot began.
func (r *recent) advance(elapsed time.Duration) {
	index := int64(elapsed / r.length)
	if index-r.index >= slots {
		r.amounts = [slots]float64{}
		r.index = index
	}
	for r.index < index {
		r.index++
		r.amounts[r.index%slots] = 0
	}
}

// total returns the sum of the amounts kept.
func (r *recent) total() float64 {
	sum := 0.0
	for _, a := range r.amounts {
		sum += a
	}
	return sum
}

// add adds an amount to the current slot.
func (r *recent) add(amount float64) { r.amounts[r.index%slots] += amount }

// remove removes up to amount, oldest first, and returns how much it removed.
func (r *recent) remove(amount float64) float64 {
	removed := 0.0
	for k := int64(1); k <= slots; k++ {
		slot := &r.amounts[(r.index+k)%slots]
		part := min(*slot, amount-removed)
		*slot -= part
		removed += part
	}
	return removed
}
