// Package explain analyzes the logs of hosts and reports why requests were slow
// or failed.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"

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

// Row counts the requests with one outcome and one cause of failure or delay.
type Row struct {
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
	outcome string
	cause   exchange.Cause
}

// Read reads a log of JSON lines. Each line may have a prefix before its first
// brace; lines that are not JSON or have no request id are skipped. If
// id is not empty, the report keeps the lines of the request with that id.
func Read(from io.Reader, id string) (*Report, error) {
	report := &Report{}
	rows := map[rowKey]*Row{}
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
		if line.RequestID == id {
			report.RequestLines = append(report.RequestLines, bytes.Clone(raw[start:]))
		}
		report.LeftOut += line.LeftOut
		if line.Outcome != "" {
			count(rows, &line)
		}
	}
	for _, row := range rows {
		report.Rows = append(report.Rows, *row)
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := &report.Rows[i], &report.Rows[j]
		if a.Requests != b.Requests {
			return a.Requests > b.Requests
		}
		return a.Outcome+string(a.Cause) < b.Outcome+string(b.Cause)
	})
	return report, scanner.Err()
}

// count adds a request to one row for each distinct cause among its legs, or to
// the row without a cause if it has no legs.
func count(rows map[rowKey]*Row, line *Line) {
	causes := map[exchange.Cause]bool{}
	for _, leg := range line.Legs {
		causes[leg.Cause] = true
	}
	if len(causes) == 0 {
		causes[""] = true
	}
	for cause := range causes {
		key := rowKey{outcome: line.Outcome, cause: cause}
		if rows[key] == nil {
			rows[key] = &Row{Outcome: line.Outcome, Cause: cause, Example: line.RequestID}
		}
		rows[key].Requests++
	}
}
