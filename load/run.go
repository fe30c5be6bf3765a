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
	// Addresses are the callers' addresses of the instances.
	Addresses []string
	Customer  string
	Database  string
	Sessions  int
	// Rate is the mean number of requests per second over all sessions.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Progress is told of the counts once a second, if set.
	Progress func(Second)
}

// Second is what happened in one second of a run.
type Second struct {
	At       int     `json:"at_s"`
	Answered int     `json:"answered"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Result is the outcome of a run.
type Result struct {
	Workload string  `json:"workload"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused_not_run"`
	Unknown  int     `json:"unknown"`
	Lost     int     `json:"lost"`
	Doubled  int     `json:"doubled"`
	Ran      int     `json:"ran_although_refused"`
	Stale    int     `json:"stale_reads"`
	TwoOwner int     `json:"parts_with_two_owners"`
	LostTold int     `json:"lost_writes_reported"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Max      float64 `json:"max_ms"`
	// WriteGap is the longest time between two answered writes, in milliseconds.
	WriteGap float64  `json:"longest_write_gap_ms"`
	Seconds  []Second `json:"seconds"`
}

// Passed reports whether nothing was lost, doubled, stale or falsely refused.
func (r Result) Passed() bool {
	return r.Lost+r.Doubled+r.Ran+r.Stale+r.TwoOwner == 0
}

const (
	maxLatency  = 60 * time.Second
	digits      = 3
	connectWait = 100 * time.Millisecond
	verifyWait  = 30 * time.Second
)

// run is the state that the sessions of a run share.
type run struct {
	cfg      Config
	started  time.Time
	mu       sync.Mutex
	result   Result
	all      *hdrhistogram.Histogram
	second   *hdrhistogram.Histogram
	current  Second
	lastAck  time.Time
	parts    map[string]int
	marks    map[string][]mark
	nextPart int
}

// mark is one append that a session sent.
type mark struct {
	id      string
	outcome outcome
}

// outcome is what a session was told of a request.
type outcome uint8

const (
	answered outcome = iota
	refused
	unknown
)

// Run plays a workload and checks the rows at the end; it fails when the rows cannot be read.
func Run(ctx context.Context, cfg Config) (Result, error) {
	r := &run{
		cfg:     cfg,
		started: time.Now(),
		all:     hdrhistogram.New(1, maxLatency.Microseconds(), digits),
		second:  hdrhistogram.New(1, maxLatency.Microseconds(), digits),
		parts:   map[string]int{},
		marks:   map[string][]mark{},
	}
	r.result.Workload = cfg.Workload.name
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+verifyWait)
	defer cancel()
	ticking := make(chan struct{})
	go r.tick(ticking)
	var wait sync.WaitGroup
	for n := range cfg.Sessions {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.session(ctx, n)
		}()
	}
	wait.Wait()
	close(ticking)
	r.closeSecond()
	err := r.verify(ctx)
	r.result.P50 = millis(r.all.ValueAtQuantile(50))
	r.result.P99 = millis(r.all.ValueAtQuantile(99))
	r.result.Max = millis(r.all.Max())
	return r.result, err
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func (r *run) tick(done <-chan struct{}) {
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

func (r *run) closeSecond() {
	r.mu.Lock()
	s := r.current
	s.At = len(r.result.Seconds)
	s.P50 = millis(r.second.ValueAtQuantile(50))
	s.P99 = millis(r.second.ValueAtQuantile(99))
	r.result.Seconds = append(r.result.Seconds, s)
	r.current = Second{}
	r.second.Reset()
	r.mu.Unlock()
	if r.cfg.Progress != nil {
		r.cfg.Progress(s)
	}
}

// session sends requests at their intended times until the run ends.
func (r *run) session(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(number)))
	c := &client{run: r, number: number, key: fmt.Sprintf("session-%d-%d", r.cfg.Seed, number)}
	defer c.disconnect()
	c.create(ctx)
	rate := r.cfg.Rate / float64(r.cfg.Sessions)
	into := time.Duration(0)
	for {
		into += r.cfg.Workload.gap(random, into, rate)
		if into >= r.cfg.Duration {
			return
		}
		intended := r.started.Add(into)
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			return
		}
		if random.Float64() < r.cfg.Workload.roamShare {
			c.disconnect()
		}
		c.request(ctx, r.cfg.Workload.draw(random), intended)
	}
}

func (r *run) note(key string, m mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks[key] = append(r.marks[key], m)
}

// toldOfLoss excuses the acknowledged writes of a session that was told of a lost write.
func (r *run) toldOfLoss(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.LostTold++
	for i := range r.marks[key] {
		r.marks[key][i].outcome = unknown
	}
}

func (r *run) stale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Stale++
}

// part returns a part's key; every second session asks for the same one.
func (r *run) part() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextPart++
	return fmt.Sprintf("part-%d-%d", r.cfg.Seed, r.nextPart/2)
}

func (r *run) own(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[part]++
	if r.parts[part] == 2 {
		r.result.TwoOwner++
	}
}

func (r *run) record(k kind, o outcome, intended time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	switch o {
	case answered:
		r.result.Answered++
		r.current.Answered++
		took := now.Sub(intended).Microseconds()
		_ = r.all.RecordValue(took)
		_ = r.second.RecordValue(took)
	case refused:
		r.result.Refused++
		r.current.Failed++
	case unknown:
		r.result.Unknown++
		r.current.Failed++
	}
	if k == kindWrite && o == answered {
		if !r.lastAck.IsZero() {
			r.result.WriteGap = max(r.result.WriteGap, millis(now.Sub(r.lastAck).Microseconds()))
		}
		r.lastAck = now
	}
}

// verify reads every session's row on the primary and counts its marks.
func (r *run) verify(ctx context.Context) error {
	c := &client{run: r}
	defer c.disconnect()
	for key, marks := range r.marks {
		value, err := c.row(ctx, key)
		if err != nil {
			return err
		}
		for _, m := range marks {
			r.judge(m, strings.Count(value, m.id))
		}
	}
	return nil
}

func (r *run) judge(m mark, times int) {
	switch {
	case times > 1:
		r.result.Doubled++
	case m.outcome == answered && times == 0:
		r.result.Lost++
	case m.outcome == refused && times > 0:
		r.result.Ran++
	}
}
