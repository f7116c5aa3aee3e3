package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one JSON object a line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// fields are the values of one line of the record.
type fields map[string]any

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// at returns the seconds since the start.
func (r *record) at() float64 { return time.Since(r.began).Seconds() }

// write adds a line about an event. Lines are written at once.
func (r *record) write(event string, f fields) {
	if f == nil {
		f = fields{}
	}
	f["event"] = event
	r.mu.Lock()
	defer r.mu.Unlock()
	f["at_s"] = fmt.Sprintf("%.3f", r.at())
	raw, err := json.Marshal(f)
	if err != nil {
		panic(err)
	}
	_, _ = r.file.Write(append(raw, '\n'))
}
