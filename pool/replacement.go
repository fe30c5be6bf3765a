package pool

import (
	"math"
	"time"
)

// Forecast predicts the use of connections; its owner measures dials and uses.
type Forecast interface {
	// Returning returns how many connections with key are in use and expected back within the time of a dial from now.
	Returning(now time.Time, key string) int
	// UseTime returns the mean time for which a request uses a connection, or 0 when it is not known.
	UseTime() time.Duration
}

const (
	// rateDecay is the time constant of the rates of keys: long enough to see several requests of the 11 busiest of 80
	// accounts at 46 requests per second and endpoint, and short against the minutes for which a demand lasts.
	rateDecay = 10 * time.Second
	// busyCount is the decayed number of requests from which a key is busy: about one within rateDecay.
	busyCount = 1
	// maxKeys bounds the number of keys whose rates are kept; deployments have about 100.
	maxKeys = 4096
)

// keyRates counts the requests of each key, decayed exponentially.
type keyRates struct {
	now    time.Time
	counts map[string]decayedCount
}

// decayedCount is a decayed count as of a point in time.
type decayedCount struct {
	count float64
	at    time.Time
}

// observe counts a request with key at now; a zero time means the time of the last request.
func (r *keyRates) observe(now time.Time, key string) {
	if now.After(r.now) {
		r.now = now
	}
	if len(r.counts) >= maxKeys {
		r.forget()
	}
	r.counts[key] = decayedCount{count: r.count(key) + 1, at: r.now}
}

// count returns the decayed number of requests with key.
func (r *keyRates) count(key string) float64 {
	c := r.counts[key]
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp(-r.now.Sub(c.at).Seconds()/rateDecay.Seconds())
}

// forget removes the keys that are not busy, or all of them if none would be left out.
func (r *keyRates) forget() {
	for key := range r.counts {
		if r.count(key) < busyCount {
			delete(r.counts, key)
		}
	}
	if len(r.counts) >= maxKeys {
		clear(r.counts)
	}
}

// replaced returns the index of the idle connection to replace by one with another key.
//
// It is the one that the fewest requests per time are expected to need. The only idle
// connection of a key is needed by each of its requests; a further one only by those
// that find the others in use, as the Erlang loss formula estimates. The only idle
// connection of a busy key is kept while another key has several. Among equals, the
// connection that has been idle for the longest time is replaced.
func (p *Pool[C, W]) replaced() int {
	idle := map[string]int{}
	several := false
	for _, c := range p.idle {
		idle[c.key]++
		several = several || idle[c.key] > 1
	}
	best, least := -1, 0.0
	for i, c := range p.idle {
		count := p.rates.count(c.key)
		if several && idle[c.key] == 1 && count >= busyCount {
			continue
		}
		load := count * p.useTime().Seconds() / rateDecay.Seconds()
		if need := count * lossProbability(load, idle[c.key]-1); best < 0 || need < least {
			best, least = i, need
		}
	}
	return best
}

// useTime returns the mean time for which a request uses a connection, or 0 when it is not known.
func (p *Pool[C, W]) useTime() time.Duration {
	if p.forecast == nil {
		return 0
	}
	return p.forecast.UseTime()
}

// lossProbability returns the share of requests that find all of n connections in use under an offered load (Erlang B).
func lossProbability(load float64, n int) float64 {
	loss := 1.0
	for i := 1; i <= n; i++ {
		loss = load * loss / (float64(i) + load*loss)
	}
	return loss
}

// servable reports whether a request with key can be granted a connection at now.
//
// If that takes the replacement of another key's connection, the request waits
// instead for one of its key that is expected back sooner than a new one is open;
// each expected connection keeps one request waiting.
func (p *Pool[C, W]) servable(now time.Time, key string) bool {
	if p.open < p.limit {
		return true
	}
	if p.open > p.limit || len(p.idle) == 0 {
		return false
	}
	for _, c := range p.idle {
		if c.key == key {
			return true
		}
	}
	if p.forecast == nil || p.deferred[key] >= p.forecast.Returning(now, key) {
		return true
	}
	p.deferred[key]++
	return false
}

// Deferred returns the number of waiters that wait for a connection of their key rather than replace another.
//
// The caller calls Wake within the time of a dial, as the connection may not come back as expected.
func (p *Pool[C, W]) Deferred() int {
	n := 0
	for _, count := range p.deferred {
		n += count
	}
	return n
}

// Wake serves the waiters that can be served at now.
func (p *Pool[C, W]) Wake(now time.Time) []Wakeup[C, W] { return p.wake(now) }
