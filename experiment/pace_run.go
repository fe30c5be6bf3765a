package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/pace"
	"github.com/monsoontiller/monsoontiller/pool"
)

// Sizes and times of the simulated endpoint, as in the deployments with scarce capacity.
const (
	paceSlots   = 5
	paceHomes   = 4
	paceService = 15 * time.Millisecond
	// paceObjective is the time within which a client needs its answer, of which a home may use a quarter before it sends
	// the request to another member.
	paceObjective = 300 * time.Millisecond
	paceWait      = paceObjective / 4
	// paceRate is the number of requests per second, 0.6 of what the endpoint answers when it is well, and paceBacklog the
	// number that wait at its start.
	paceRate    = 200
	paceBacklog = 60
	// paceDetection is the time until a home knows that the endpoint is down or back.
	paceDetection = 100 * time.Millisecond
	// paceWarmAnswers is the number of answers after which a cold endpoint is warm.
	paceWarmAnswers = 200
	paceStep        = time.Millisecond
	paceDuration    = 5 * time.Second
	paceWindow      = 250 * time.Millisecond
)

// PaceScenario describes how an endpoint answers after its start at time 0.
type PaceScenario struct {
	Name string
	// Factor is how many times longer requests take while the endpoint is cold, if Cold is set with all slots in use, or
	// until SlowFor has passed.
	Factor  float64
	Cold    bool
	SlowFor time.Duration
	// Period is the period with which the endpoint is up for a half and then down for a half; 0 means that it stays up.
	Period time.Duration
}

// PaceScenarios returns the starts that are compared.
func PaceScenarios() []PaceScenario {
	return []PaceScenario{
		{Name: "well at once", Factor: 1},
		{Name: "cold", Factor: 7.5, Cold: true},
		{Name: "slow for 6 s", Factor: 7.5, SlowFor: 6 * time.Second},
		{Name: "flapping", Factor: 1, Period: 1400 * time.Millisecond},
	}
}

// paceLimit returns the limit of a home with a ceiling at a time after the last start.
type paceLimit func(c *pace.Controller, sinceStart time.Duration, ceiling int) int

// paceLimits are the variants that are compared.
var paceLimits = []struct {
	name  string
	limit paceLimit
}{
	{"no pace", func(_ *pace.Controller, _ time.Duration, ceiling int) int { return ceiling }},
	{"fixed ramp of 5 s", func(_ *pace.Controller, since time.Duration, ceiling int) int {
		return min(ceiling, 1+int(float64(ceiling)*since.Seconds()/5))
	}},
	{"pace", func(c *pace.Controller, _ time.Duration, _ int) int { return c.Limit() }},
}

// PaceVariants returns the names of the variants that are compared.
func PaceVariants() []string {
	var names []string
	for _, v := range paceLimits {
		names = append(names, v.name)
	}
	return names
}

// PaceResult holds the first 5 s of an endpoint under one variant.
//
// Refused counts the requests sent to another member, which answers them in time.
type PaceResult struct {
	GroupResult
	// PeakQueue is the largest number of requests that waited in the endpoint, FirstWave the largest number sent to it
	// between a start and the next answer, and Lost the number that it lost.
	PeakQueue int
	FirstWave int
	Lost      int
	// Idle is the share of the slots' time during which they were free while requests waited at a home that knew the
	// endpoint to be up.
	Idle float64
}

// paceRequest is one request at a home or at the endpoint.
type paceRequest struct {
	home              *paceHome
	arrivedAt, sentAt time.Duration
	work              float64
	endsAt            time.Duration
}

// paceHome is one instance that sends requests to the endpoint.
type paceHome struct {
	controller *pace.Controller
	waiting    []*paceRequest
	inFlight   int
}

// paceSimulation is one endpoint with its homes in virtual time.
type paceSimulation struct {
	scenario PaceScenario
	limit    paceLimit
	random   *rand.Rand
	homes    []*paceHome
	// running and queue are the requests in the slots of the endpoint, and those that wait there.
	running, queue []*paceRequest
	now            time.Duration
	answers, sent  int
	known          bool
	knownSince     time.Duration
	idle, slotTime time.Duration
	result         PaceResult
}

// RunPace runs the first 5 s after the start of an endpoint under the variant of that index.
func RunPace(scenario PaceScenario, variant int, seed uint64) PaceResult {
	s := &paceSimulation{scenario: scenario, limit: paceLimits[variant].limit, random: rand.New(rand.NewPCG(seed, 0))}
	s.result.GroupResult = GroupResult{Scenario: scenario.Name, Variant: paceLimits[variant].name, Windows: make([]WindowCounts, paceDuration/paceWindow)}
	for range paceHomes {
		s.homes = append(s.homes, &paceHome{controller: pace.New(pace.Config{Ceiling: pool.PermitShare(paceSlots, paceHomes)})})
	}
	for range paceBacklog {
		s.arrive()
	}
	for ; s.now < paceDuration; s.now += paceStep {
		s.step()
	}
	s.result.Idle = float64(s.idle) / float64(max(1, s.slotTime))
	return s.result
}

// up reports whether the endpoint runs at a time.
func (s *paceSimulation) up(at time.Duration) bool {
	return at >= 0 && (s.scenario.Period == 0 || at%s.scenario.Period < s.scenario.Period/2)
}

func (s *paceSimulation) step() {
	if !s.up(s.now) && s.up(s.now-paceStep) {
		s.loseAll()
	}
	s.detect()
	if s.random.Float64() < 1-math.Exp(-paceRate*paceStep.Seconds()) {
		s.arrive()
	}
	s.complete()
	for i := range s.homes {
		s.send(s.homes[(i+int(s.now/paceStep))%len(s.homes)])
	}
	s.begin()
	s.measureIdle()
}

// detect tells the homes that the endpoint has come back or is down.
func (s *paceSimulation) detect() {
	known := s.up(max(0, s.now-paceDetection))
	if known && !s.known {
		s.knownSince = s.now
		for _, h := range s.homes {
			h.controller.Restart(time.Unix(0, int64(s.now)))
		}
	}
	s.known = known
}

func (s *paceSimulation) arrive() {
	h := s.homes[s.random.IntN(len(s.homes))]
	h.waiting = append(h.waiting, &paceRequest{home: h, arrivedAt: s.now, work: s.random.ExpFloat64()})
	s.window(s.now).Asked++
}

func (s *paceSimulation) window(at time.Duration) *WindowCounts {
	return &s.result.Windows[at/paceWindow]
}

// send sends the requests that a home's limit allows, and gives those that have waited too long to another member.
func (s *paceSimulation) send(h *paceHome) {
	for len(h.waiting) > 0 && (!s.known || s.now-h.waiting[0].arrivedAt > paceWait) {
		w := s.window(h.waiting[0].arrivedAt)
		w.Refused++
		w.InTime++
		h.waiting = h.waiting[1:]
	}
	limit := s.limit(h.controller, s.now-s.knownSince, pool.PermitShare(paceSlots, paceHomes))
	for len(h.waiting) > 0 && h.inFlight < limit {
		r := h.waiting[0]
		h.waiting = h.waiting[1:]
		r.sentAt = s.now
		h.inFlight++
		if s.sent++; s.answers == 0 && s.up(s.now) {
			s.result.FirstWave = max(s.result.FirstWave, s.sent)
		}
		s.queue = append(s.queue, r)
		if !s.up(s.now) {
			s.loseAll()
		}
	}
	s.result.PeakQueue = max(s.result.PeakQueue, len(s.queue)+len(s.running)-paceSlots)
}

// loseAll loses the requests at the endpoint.
func (s *paceSimulation) loseAll() {
	for _, r := range append(s.running, s.queue...) {
		r.home.inFlight--
		r.home.controller.Failed(time.Unix(0, int64(s.now)))
		s.result.Lost++
	}
	s.running, s.queue, s.answers, s.sent = nil, nil, 0, 0
}

// begin starts queued requests in free slots.
func (s *paceSimulation) begin() {
	for len(s.queue) > 0 && len(s.running) < paceSlots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, r)
		r.endsAt = s.now + time.Duration(r.work*s.factor()*float64(paceService)) + paceStep
	}
}

// factor returns how many times longer a request takes that starts now.
func (s *paceSimulation) factor() float64 {
	if s.scenario.Cold {
		cold := max(0, 1-float64(s.answers)/paceWarmAnswers)
		return 1 + (s.scenario.Factor-1)*cold*float64(len(s.running))/paceSlots
	}
	if s.now < s.scenario.SlowFor {
		return s.scenario.Factor
	}
	return 1
}

// complete passes the answers to the homes.
func (s *paceSimulation) complete() {
	var left []*paceRequest
	for _, r := range s.running {
		if r.endsAt > s.now {
			left = append(left, r)
			continue
		}
		s.answers++
		r.home.inFlight--
		r.home.controller.Answered(time.Unix(0, int64(s.now)), s.now-r.sentAt, paceService)
		if s.now-r.arrivedAt <= paceObjective {
			s.window(r.arrivedAt).InTime++
			continue
		}
		s.window(r.arrivedAt).Late++
	}
	s.running = left
}

func (s *paceSimulation) measureIdle() {
	if !s.known || !s.up(s.now) {
		return
	}
	waiting := 0
	for _, h := range s.homes {
		waiting += len(h.waiting)
	}
	s.slotTime += paceSlots * paceStep
	s.idle += time.Duration(min(waiting, paceSlots-len(s.running))) * paceStep
}

// PlotPaces writes one plot per scenario to path: the share of requests answered in time per window, one line per variant.
func PlotPaces(results []PaceResult, path string) error {
	var groups []GroupResult
	for _, r := range results {
		groups = append(groups, r.GroupResult)
	}
	return plotGroups(groups, paceWindow, path)
}
