package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes a run.
type Config struct {
	Workload Workload
	// Addresses are the addresses at which the instances accept callers.
	Addresses []string
	Customer  string
	Database  string
	Sessions  int
	// Rate is the mean number of requests per second over all sessions.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Progress, if set, is called with the counts of each second at its end.
	Progress func(SecondCounts)
}

// SecondCounts holds the counts and latencies of one second of a run.
type SecondCounts struct {
	// At is the time since the start of the run in seconds.
	At       int `json:"at_s"`
	Answered int `json:"answered"`
	// Failed counts all other requests, refused or with an unknown outcome.
	Failed int     `json:"failed"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

// Result holds the counts and latencies of a whole run; P50, P99, Max and WriteGap are in milliseconds.
type Result struct {
	Workload string `json:"workload"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	// Refused counts errors with which the proxy guarantees that the request did not run, Unknown all other errors.
	Refused int `json:"refused_not_run"`
	Unknown int `json:"unknown"`
	// Lost, Duplicated and RanThoughRefused count writes that were answered but are
	// missing, that ran more than once, and that were refused but ran.
	Lost             int `json:"lost"`
	Duplicated       int `json:"doubled"`
	RanThoughRefused int `json:"ran_although_refused"`
	// Stale counts reads without the last acknowledged write of their session.
	Stale int `json:"stale_reads"`
	// DoubleReservations counts parts that more than one session reserved.
	DoubleReservations int `json:"parts_with_two_owners"`
	// LostReported counts reads that failed because a failover had lost a write of the session.
	LostReported int     `json:"lost_writes_reported"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	Max          float64 `json:"max_ms"`
	// WriteGap is the longest time between two consecutive answered writes.
	WriteGap float64        `json:"longest_write_gap_ms"`
	Seconds  []SecondCounts `json:"seconds"`
}

// Passed reports whether no write was lost, duplicated or run although refused, no read was stale, and no part was
// reserved twice.
func (r Result) Passed() bool {
	return r.Lost+r.Duplicated+r.RanThoughRefused+r.Stale+r.DoubleReservations == 0
}

const (
	// maxLatency and significantDigits bound the latency histograms.
	maxLatency        = 60 * time.Second
	significantDigits = 3
	// retryInterval is the time between two attempts to connect or to read a row at the end.
	retryInterval = 100 * time.Millisecond
	// verifyTimeout limits the time after the run for verifying the rows.
	verifyTimeout = 30 * time.Second
)

// run is the state shared by the sessions of a run; mu guards the fields below it while sessions run.
type run struct {
	cfg             Config
	started         time.Time
	mu              sync.Mutex
	result          Result
	latencies       *hdrhistogram.Histogram
	secondLatencies *hdrhistogram.Histogram
	currentSecond   SecondCounts
	lastWriteAt     time.Time
	reservations    map[string]int
	sentWrites      map[string][]sentWrite
	partRequests    int
}

// sentWrite is one write that a session sent: the marker it appended and its outcome.
type sentWrite struct {
	marker  string
	outcome outcome
}

// outcome is the result of a request as its session observed it.
type outcome uint8

const (
	answered outcome = iota
	refused
	unknown
)

// Run runs a workload and verifies the rows at the end; it fails if a row cannot be read.
func Run(ctx context.Context, cfg Config) (Result, error) {
	r := &run{
		cfg:             cfg,
		started:         time.Now(),
		latencies:       hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		secondLatencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		reservations:    map[string]int{},
		sentWrites:      map[string][]sentWrite{},
	}
	r.result.Workload = cfg.Workload.name
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+verifyTimeout)
	defer cancel()
	sessionsDone := make(chan struct{})
	go r.closeSeconds(sessionsDone)
	var sessions sync.WaitGroup
	for n := range cfg.Sessions {
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			r.runSession(ctx, n)
		}()
	}
	sessions.Wait()
	close(sessionsDone)
	r.closeSecond()
	err := r.verify(ctx)
	r.result.P50 = millis(r.latencies.ValueAtQuantile(50))
	r.result.P99 = millis(r.latencies.ValueAtQuantile(99))
	r.result.Max = millis(r.latencies.Max())
	return r.result, err
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// closeSeconds calls closeSecond every second until done is closed.
func (r *run) closeSeconds(done <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.closeSecond()
		case <-done:
			return
		}
	}
}

// closeSecond appends the counts of the current second to the result and starts the next second.
func (r *run) closeSecond() {
	r.mu.Lock()
	s := r.currentSecond
	s.At = len(r.result.Seconds)
	s.P50 = millis(r.secondLatencies.ValueAtQuantile(50))
	s.P99 = millis(r.secondLatencies.ValueAtQuantile(99))
	r.result.Seconds = append(r.result.Seconds, s)
	r.currentSecond = SecondCounts{}
	r.secondLatencies.Reset()
	r.mu.Unlock()
	if r.cfg.Progress != nil {
		r.cfg.Progress(s)
	}
}

// runSession sends requests at their intended times until the run ends.
func (r *run) runSession(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(number)))
	c := &client{run: r, number: number, key: fmt.Sprintf("session-%d-%d", r.cfg.Seed, number)}
	defer c.disconnect()
	c.insertRow(ctx)
	rate := r.cfg.Rate / float64(r.cfg.Sessions)
	elapsed := time.Duration(0)
	for {
		elapsed += r.cfg.Workload.interarrival(random, elapsed, rate)
		if elapsed >= r.cfg.Duration {
			return
		}
		intended := r.started.Add(elapsed)
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			return
		}
		if random.Float64() < r.cfg.Workload.reconnectShare {
			c.disconnect()
		}
		c.request(ctx, r.cfg.Workload.randomKind(random), intended)
	}
}

func (r *run) recordWrite(key string, w sentWrite) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentWrites[key] = append(r.sentWrites[key], w)
}

// recordLossReport counts a reported loss and sets the outcomes of the session's writes to unknown, because any of them
// may be lost.
func (r *run) recordLossReport(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.LostReported++
	for i := range r.sentWrites[key] {
		r.sentWrites[key][i].outcome = unknown
	}
}

// recordStaleRead counts a read that missed the last acknowledged write of its session.
func (r *run) recordStaleRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Stale++
}

// nextPart returns the key of the part to reserve. Pairs of calls return the same key, so that sessions compete for it.
func (r *run) nextPart() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partRequests++
	return fmt.Sprintf("part-%d-%d", r.cfg.Seed, r.partRequests/2)
}

// recordReservation counts a successful reservation of a part.
func (r *run) recordReservation(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservations[part]++
	if r.reservations[part] == 2 {
		r.result.DoubleReservations++
	}
}

// recordOutcome counts a request and, if it was answered, records its latency from the intended start.
func (r *run) recordOutcome(k kind, o outcome, intended time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	switch o {
	case answered:
		r.result.Answered++
		r.currentSecond.Answered++
		latency := now.Sub(intended).Microseconds()
		_ = r.latencies.RecordValue(latency)
		_ = r.secondLatencies.RecordValue(latency)
	case refused:
		r.result.Refused++
		r.currentSecond.Failed++
	case unknown:
		r.result.Unknown++
		r.currentSecond.Failed++
	}
	if k == kindWrite && o == answered {
		if !r.lastWriteAt.IsZero() {
			r.result.WriteGap = max(r.result.WriteGap, millis(now.Sub(r.lastWriteAt).Microseconds()))
		}
		r.lastWriteAt = now
	}
}

// verify reads from the primary the row of every session that wrote and counts in it the marker of each write.
func (r *run) verify(ctx context.Context) error {
	c := &client{run: r}
	defer c.disconnect()
	for key, writes := range r.sentWrites {
		value, err := c.readRow(ctx, key)
		if err != nil {
			return err
		}
		for _, w := range writes {
			r.checkWrite(w, strings.Count(value, w.marker))
		}
	}
	return nil
}

// checkWrite compares the outcome of a write with the number of times that it ran.
func (r *run) checkWrite(w sentWrite, count int) {
	switch {
	case count > 1:
		r.result.Duplicated++
	case w.outcome == answered && count == 0:
		r.result.Lost++
	case w.outcome == refused && count > 0:
		r.result.RanThoughRefused++
	}
}
