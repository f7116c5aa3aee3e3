package overload

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// The service and the callers of the arithmetic play: requests arrive at fixed-seed
// exponential intervals, wait in one queue for a free slot and take a fixed time.
const (
	playSlots     = 8
	playWork      = 40 * time.Millisecond
	playCapacity  = 200.0
	playObjective = 250 * time.Millisecond
	playTimeout   = 700 * time.Millisecond
	playWarmup    = 8 * time.Second
	playEnd       = 24 * time.Second
	playTick      = 400 * time.Millisecond
)

// playLoad is what callers ask for.
type playLoad struct {
	hosts  int
	factor float64
	fleet  bool
	// ranks and domains have the weights of the ranks and the failure domains.
	ranks   []float64
	domains map[string]float64
}

// playCall is one caller's attempt, or the end of one.
type playCall struct {
	at       time.Time
	first    time.Time
	host     int
	stream   Stream
	again    bool
	admitted time.Time
	ended    bool
	result   Result
}

// playQueue is a heap of events by time.
type playQueue []playCall

func (q playQueue) Len() int           { return len(q) }
func (q playQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q playQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *playQueue) Push(x any)        { *q = append(*q, x.(playCall)) }
func (q *playQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// score counts callers and those served in time.
type score struct{ callers, served, refusedTwice int }

func (s score) share() float64 { return float64(s.served) / float64(max(s.callers, 1)) }

// played is the outcome of a play.
type played struct {
	total    score
	byRank   map[int]score
	byDomain map[string]score
	// limited is whether any host had a limit after the warm-up.
	limited bool
}

// goodput returns the callers served in time per second.
func (p *played) goodput() float64 { return float64(p.total.served) / (playEnd - playWarmup).Seconds() }

// play is the state of a play in progress.
type play struct {
	load  playLoad
	start time.Time
	// arrivals is sorted by time; events has retries and ends.
	arrivals []playCall
	events   playQueue
	slots    [playSlots]time.Time
	groups   []*Group
	fleet    Fleet
	out      played
}

func runPlay(load playLoad) *played {
	start := time.Unix(1000, 0)
	p := &play{load: load, start: start, out: played{byRank: map[int]score{}, byDomain: map[string]score{}}}
	for range load.hosts {
		p.groups = append(p.groups, NewGroup(start))
	}
	p.createArrivals()
	tick := start.Add(playTick)
	for len(p.events)+len(p.arrivals) > 0 {
		c := p.next()
		for ; c.at.After(tick); tick = tick.Add(playTick) {
			p.report(tick)
		}
		if c.ended {
			p.groups[c.host].Ended(c.at, c.stream, c.admitted, c.result)
			continue
		}
		p.arrive(c)
	}
	return &p.out
}

// next removes and returns the earliest event.
func (p *play) next() playCall {
	if len(p.events) == 0 || len(p.arrivals) > 0 && p.arrivals[0].at.Before(p.events[0].at) {
		c := p.arrivals[0]
		p.arrivals = p.arrivals[1:]
		return c
	}
	return heap.Pop(&p.events).(playCall)
}

// createArrivals creates all first attempts.
func (p *play) createArrivals() {
	random := rand.New(rand.NewPCG(7, 11))
	for at := time.Duration(0); at < playEnd; {
		at += time.Duration(random.ExpFloat64() / (playCapacity * p.load.factor) * float64(time.Second))
		c := playCall{at: p.start.Add(at), first: p.start.Add(at), host: random.IntN(p.load.hosts)}
		c.stream = Stream{Rank: pickWeighted(random, p.load.ranks), Domain: pickDomain(random, p.load.domains)}
		p.arrivals = append(p.arrivals, c)
	}
}

func pickWeighted(random *rand.Rand, weights []float64) int {
	at := random.Float64()
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func pickDomain(random *rand.Rand, domains map[string]float64) string {
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	weights := make([]float64, len(names))
	for i, name := range names {
		weights[i] = domains[name]
	}
	return names[pickWeighted(random, weights)]
}

// arrive has an attempt admitted and served, or refused and sent once more.
func (p *play) arrive(c playCall) {
	left := playTimeout - c.at.Sub(c.first)
	a := p.groups[c.host].Admit(c.at, Request{Stream: c.stream, Returning: c.again, Left: left, Objective: playObjective})
	measured := c.first.Sub(p.start) >= playWarmup
	p.out.limited = p.out.limited || measured && p.groups[c.host].Limited(c.at)
	switch {
	case a.Admitted:
		p.count(c, measured, p.serve(c, left), false)
	case c.again:
		p.count(c, measured, false, true)
	default:
		c.again, c.at = true, c.at.Add(a.RetryAfter)
		heap.Push(&p.events, c)
	}
}

// serve returns whether the attempt is answered in time and schedules its end.
func (p *play) serve(c playCall, left time.Duration) bool {
	slot := 0
	for i := range p.slots {
		if p.slots[i].Before(p.slots[slot]) {
			slot = i
		}
	}
	begin := c.at
	if p.slots[slot].After(begin) {
		begin = p.slots[slot]
	}
	end := begin.Add(playWork)
	if begin.Sub(c.at) < left {
		p.slots[slot] = end
	} else {
		end = c.at.Add(left)
	}
	c.admitted, c.ended, c.result = c.at, true, InTime
	took := end.Sub(c.admitted)
	if took > playWork*5/2 {
		c.result = Delayed
	}
	if took > playObjective {
		c.result = Overdue
	}
	c.at = end
	heap.Push(&p.events, c)
	return c.result != Overdue
}

func (p *play) count(c playCall, measured, served, refusedTwice bool) {
	if !measured {
		return
	}
	add := func(s score) score {
		s.callers++
		if served {
			s.served++
		}
		if refusedTwice {
			s.refusedTwice++
		}
		return s
	}
	p.out.total = add(p.out.total)
	p.out.byRank[c.stream.Rank] = add(p.out.byRank[c.stream.Rank])
	p.out.byDomain[c.stream.Domain] = add(p.out.byDomain[c.stream.Domain])
}

// report passes the hosts' reports to the fleet and its shares to the hosts.
func (p *play) report(now time.Time) {
	for _, g := range p.groups {
		entries := g.Take(now, "group")
		if p.load.fleet {
			p.fleet.Add(now, entries)
		}
	}
	if !p.load.fleet {
		return
	}
	list := p.fleet.Shares(now)
	for _, g := range p.groups {
		g.SetShares(now, list)
	}
}

// worstAndBest returns the least and the greatest share of callers served.
func worstAndBest[K cmp.Ordered](scores map[K]score) (worst, best float64) {
	worst = 1
	for _, s := range scores {
		worst, best = min(worst, s.share()), max(best, s.share())
	}
	return worst, best
}
