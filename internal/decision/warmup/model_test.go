package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	modelHosts   = 9
	modelStep    = 40 * time.Millisecond
	modelLasts   = 60 * time.Second
	modelAsk     = 400 * time.Millisecond
	modelTarget  = "t"
	modelLongest = 4 * time.Second
)

// modelReader is a reader with the links that it knows.
type modelReader struct {
	issuer    Issuer
	links     map[uint64]bool
	stewards  []string
	gatherers []string
	extra     int
}

// issue issues the current list. It counts at least the reader itself and its links.
func (r *modelReader) issue() (uint64, List) {
	list := List{Hosts: 1 + len(r.links) + r.extra, Stewards: r.stewards, Gatherers: r.gatherers}
	return r.issuer.Issue(list), list
}

// modelHost is a host, of which the first MaxReaders are readers.
type modelHost struct {
	name   string
	lease  Lease
	window Window
	link   uint64
	reader int
	// cutTo and cutFrom are the ends of partitions in the directions to and from the reader,
	// in which nothing is delivered in time.
	cutTo, cutFrom time.Time
	askedAt        time.Time
	// question and answer are when the last message on the link arrives: they come in order.
	question, answer time.Time
}

// modelMessage is a question under way to a reader or its answer under way back.
type modelMessage struct {
	at, asked  time.Time
	host       int
	link       uint64
	answer     bool
	generation uint64
	list       List
}

// model plays random events on a fleet whose hosts send as much as they may to one target.
type model struct {
	rand     *rand.Rand
	now      time.Time
	readers  [MaxReaders]*modelReader
	hosts    [modelHosts]*modelHost
	messages []modelMessage
	nextLink uint64
	readerOf map[uint64]int
	permits  int
	shard    bool
	// sent has the times of all requests, by the reader whose list allowed them.
	sent [MaxReaders][]time.Time
}

func newModel(seed uint64) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), readerOf: map[uint64]int{}}
	m.permits = []int{1, 2, 5, modelHosts, 40}[m.rand.IntN(5)]
	m.shard = m.rand.IntN(2) == 0
	for i := range m.hosts {
		m.hosts[i] = &modelHost{name: fmt.Sprint("h-", i), reader: i % MaxReaders}
	}
	for i := range m.readers {
		m.restartReader(i)
	}
	return m
}

func (m *model) restartReader(i int) {
	m.readers[i] = &modelReader{links: map[uint64]bool{}}
	m.hosts[i].lease.Drop()
	m.hosts[i].window = Window{}
	m.changeLists(i)
}

// changeLists gives a reader any list, whatever the others have.
func (m *model) changeLists(i int) {
	pick := func(most int) (names []string) {
		for _, h := range m.rand.Perm(modelHosts)[:m.rand.IntN(most+1)] {
			names = append(names, m.hosts[h].name)
		}
		return names
	}
	r := m.readers[i]
	r.stewards, r.gatherers, r.extra = pick(modelHosts), pick(3), m.rand.IntN(4)
}

// relink gives a host a new link. The reader may keep the old one for dead.
func (m *model) relink(i int) {
	h := m.hosts[i]
	if m.rand.IntN(2) == 0 {
		delete(m.readers[h.reader].links, h.link)
	}
	m.nextLink++
	h.link, h.reader = m.nextLink, m.rand.IntN(MaxReaders)
	h.question, h.answer = time.Time{}, time.Time{}
	m.readers[h.reader].links[h.link] = true
	m.readerOf[h.link] = h.reader
}

func (m *model) event() {
	i := MaxReaders + m.rand.IntN(modelHosts-MaxReaders)
	switch m.rand.IntN(10) {
	case 0:
		m.restartReader(m.rand.IntN(MaxReaders))
	case 1, 2:
		m.changeLists(m.rand.IntN(MaxReaders))
	case 3:
		m.hosts[i].cutTo = m.now.Add(time.Duration(m.rand.Int64N(int64(modelLongest))))
	case 6, 7:
		m.hosts[i].cutFrom = m.now.Add(time.Duration(m.rand.Int64N(int64(modelLongest))))
	case 4:
		m.hosts[i].lease.Drop()
		m.hosts[i].window = Window{}
		m.relink(i)
	case 5: // The reader takes the link for dead.
		delete(m.readers[m.hosts[i].reader].links, m.hosts[i].link)
	default:
		m.relink(i)
	}
}

// arrival returns when a message arrives that is sent now, after the last one and after the
// end of a partition.
func (m *model) arrival(cut, last time.Time) time.Time {
	at := m.now.Add(time.Duration(m.rand.Int64N(int64(100 * time.Millisecond))))
	if at.Before(cut) {
		at = cut
	}
	if at.Before(last) {
		at = last
	}
	return at
}

func (m *model) ask(i int) {
	h := m.hosts[i]
	if m.now.Sub(h.askedAt) < modelAsk {
		return
	}
	h.askedAt = m.now
	if i < MaxReaders {
		generation, list := m.readers[i].issue()
		h.lease.Confirm(0, generation, list, m.now, m.now)
		return
	}
	if h.link == 0 {
		return
	}
	h.question = m.arrival(h.cutTo, h.question)
	m.messages = append(m.messages, modelMessage{at: h.question, asked: m.now, host: i, link: h.link})
}

// deliver handles the messages that arrive by now, in the order of their arrival.
func (m *model) deliver() {
	var kept []modelMessage
	for _, msg := range m.messages {
		h := m.hosts[msg.host]
		switch {
		case msg.link != h.link:
		case msg.at.After(m.now):
			kept = append(kept, msg)
		case msg.answer:
			h.lease.Confirm(msg.link, msg.generation, msg.list, msg.asked, m.now)
		case m.readers[h.reader].links[h.link]:
			msg.answer = true
			msg.generation, msg.list = m.readers[h.reader].issue()
			h.answer = m.arrival(h.cutFrom, h.answer)
			msg.at = h.answer
			kept = append(kept, msg)
		}
	}
	m.messages = kept
}

func (m *model) send(h *modelHost) {
	list := h.lease.List(m.now)
	if list == nil {
		return
	}
	for h.window.Count(m.now) < list.Share(h.name, modelTarget, m.shard, m.permits) {
		h.window.Add(m.now)
		issuer := h.reader
		if h.lease.source != 0 {
			issuer = m.readerOf[h.lease.source]
		}
		m.sent[issuer] = append(m.sent[issuer], m.now)
	}
}

// mostInInterval returns the greatest number of requests in a closed Interval.
func mostInInterval(sent []time.Time) int {
	most, from := 0, 0
	for to := range sent {
		for sent[to].Sub(sent[from]) > Interval {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestRequestsStayWithinBoundUnderAnyOrderOfEvents guards against the crash of a cold target
// by hosts that follow different, late or outdated lists. Each reader's hosts stay within the
// permits, so that all stay within the bound. With a StableFor of 2 s it fails.
func TestRequestsStayWithinBoundUnderAnyOrderOfEvents(t *testing.T) {
	total := 0
	for seed := range uint64(300) {
		m := newModel(seed)
		events := 0.002 + 0.03*m.rand.Float64()
		for end := m.now.Add(modelLasts); m.now.Before(end); m.now = m.now.Add(modelStep) {
			if m.rand.Float64() < events {
				m.event()
			}
			m.deliver()
			for i, h := range m.hosts {
				m.ask(i)
				m.send(h)
			}
		}
		for _, sent := range m.sent {
			require.LessOrEqual(t, mostInInterval(sent), m.permits, "seed %d", seed)
			total += len(sent)
		}
	}
	require.Greater(t, total, 100_000, "the hosts must have sent")
}
