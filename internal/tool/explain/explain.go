// Package explain analyzes the logs of hosts and reports why requests were slow
// or failed.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Line holds the fields of a log line about a request.
type Line struct {
	Host      string         `json:"host"`
	Time      string         `json:"time"`
	Message   string         `json:"message"`
	RequestID string         `json:"request_id"`
	Outcome   string         `json:"outcome"`
	Route     string         `json:"route"`
	TookMS    int64          `json:"took_ms"`
	LeftOut   int            `json:"lines_left_out"`
	Legs      []exchange.Leg `json:"legs"`
}

// Options select what a report shows.
type Options struct {
	// ID is the id of the request whose lines are kept, empty for none.
	ID string
	// ByRoute counts the requests of each route apart.
	ByRoute bool
	// Window counts the requests of each span of that length apart, from the first line on;
	// 0 for one span.
	Window time.Duration
}

// Row counts the requests with one outcome and one cause of failure or delay.
type Row struct {
	// Route is empty unless routes are counted apart, From the start of the span.
	Route    string         `json:"route,omitempty"`
	From     time.Duration  `json:"from_ns,omitempty"`
	Outcome  string         `json:"outcome"`
	Cause    exchange.Cause `json:"cause"`
	Requests int            `json:"requests"`
	// Example is the id of one of these requests.
	Example string `json:"example"`
}

// Report summarizes a log by outcome and cause.
type Report struct {
	Rows []Row `json:"rows"`
	// LeftOut counts the lines that hosts omitted to stay within their log
	// budget.
	LeftOut int `json:"left_out"`
	// RequestLines holds the complete log lines of the request whose id Read was
	// given.
	RequestLines []json.RawMessage `json:"story,omitempty"`
}

type rowKey struct {
	route   string
	span    int64
	outcome string
	cause   exchange.Cause
}

// reader counts the lines of a log.
type reader struct {
	opts  Options
	first time.Time
	rows  map[rowKey]*Row
}

// Read reads a log of JSON lines. Each line may have a prefix before its first
// brace; lines that are not JSON or have no request id are skipped.
func Read(from io.Reader, opts Options) (*Report, error) {
	report := &Report{}
	r := &reader{opts: opts, rows: map[rowKey]*Row{}}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var line Line
		if json.Unmarshal(raw[start:], &line) != nil || line.RequestID == "" {
			continue
		}
		if line.RequestID == opts.ID {
			report.RequestLines = append(report.RequestLines, bytes.Clone(raw[start:]))
		}
		report.LeftOut += line.LeftOut
		if line.Outcome != "" {
			r.count(&line)
		}
	}
	for _, row := range r.rows {
		report.Rows = append(report.Rows, *row)
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := &report.Rows[i], &report.Rows[j]
		if a.From != b.From {
			return a.From < b.From
		}
		if a.Requests != b.Requests {
			return a.Requests > b.Requests
		}
		return a.Route+a.Outcome+string(a.Cause) < b.Route+b.Outcome+string(b.Cause)
	})
	return report, scanner.Err()
}

// count adds a request to one row for each distinct cause among its legs, or to
// the row without a cause if it has no legs.
func (r *reader) count(line *Line) {
	causes := map[exchange.Cause]bool{}
	for _, leg := range line.Legs {
		causes[leg.Cause] = true
	}
	if len(causes) == 0 {
		causes[""] = true
	}
	key := rowKey{outcome: line.Outcome, span: r.span(line)}
	if r.opts.ByRoute {
		key.route = line.Route
	}
	for cause := range causes {
		key.cause = cause
		if r.rows[key] == nil {
			from := time.Duration(key.span) * r.opts.Window
			r.rows[key] = &Row{Route: key.route, From: from, Outcome: line.Outcome, Cause: cause, Example: line.RequestID}
		}
		r.rows[key].Requests++
	}
}

// span returns the number of the span in which a line was written. A line without a readable
// time counts in the first one.
func (r *reader) span(line *Line) int64 {
	if r.opts.Window <= 0 {
		return 0
	}
	at, err := time.Parse(time.RFC3339Nano, line.Time)
	if err != nil {
		return 0
	}
	if r.first.IsZero() {
		r.first = at
	}
	return max(int64(at.Sub(r.first)/r.opts.Window), 0)
}
