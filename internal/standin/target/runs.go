package target

import (
	"sync"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// maxRuns bounds the number of runs that are recorded individually. Totals count
// all runs.
const maxRuns = 500_000

// Run counts how often a request ran on one shard.
type Run struct {
	RequestID string         `json:"request_id"`
	Workload  string         `json:"workload"`
	Shard     model.ShardID  `json:"shard"`
	Target    model.TargetID `json:"target"`
	Started   int            `json:"started"`
	Finished  int            `json:"finished"`
}

// RunReport lists runs and totals.
type RunReport struct {
	Target   model.TargetID `json:"target"`
	Started  int            `json:"started"`
	Finished int            `json:"finished"`
	// Cancelled counts exchanges cancelled in the queue or while they ran.
	Cancelled int `json:"cancelled"`
	// Refused counts exchanges refused before they ran.
	Refused int `json:"refused"`
	// Incomplete is set once runs are missing from Runs because maxRuns was
	// reached.
	Incomplete bool `json:"incomplete,omitempty"`
	// OpenConnections, PeakConnections and RefusedConnections count connections
	// to the target listener.
	OpenConnections    int   `json:"open_connections"`
	PeakConnections    int   `json:"peak_connections"`
	RefusedConnections int   `json:"refused_connections"`
	Crashes            int   `json:"crashes"`
	Runs               []Run `json:"runs,omitempty"`
}

type runKey struct {
	request  string
	workload model.WorkloadName
	shard    model.ShardID
}

type runCount struct{ started, finished int }

// runs counts runs in total, and by request, workload and shard.
type runs struct {
	mu         sync.Mutex
	byKey      map[runKey]*runCount
	started    int
	finished   int
	cancelled  int
	refused    int
	incomplete bool
}

func newRuns() *runs { return &runs{byKey: make(map[runKey]*runCount)} }

func (r *runs) start(key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	count := r.byKey[key]
	if count == nil {
		if len(r.byKey) >= maxRuns {
			r.incomplete = true
			return
		}
		count = new(runCount)
		r.byKey[key] = count
	}
	count.started++
}

func (r *runs) finish(key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished++
	if count := r.byKey[key]; count != nil {
		count.finished++
	}
}

func (r *runs) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled++
}

func (r *runs) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

// report returns the totals, and the runs of request, or all runs if request is
// "*".
func (r *runs) report(id model.TargetID, request string) RunReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := RunReport{
		Target: id, Started: r.started, Finished: r.finished,
		Cancelled: r.cancelled, Refused: r.refused, Incomplete: r.incomplete,
	}
	for key, count := range r.byKey {
		if request == "*" || request == key.request {
			report.Runs = append(report.Runs, Run{
				RequestID: key.request, Workload: string(key.workload), Shard: key.shard,
				Target: id, Started: count.started, Finished: count.finished,
			})
		}
	}
	return report
}
