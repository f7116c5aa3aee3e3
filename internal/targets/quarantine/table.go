package quarantine

// table holds the records of a host. It belongs to one goroutine. A record in it
// is replaced, never modified, so that published copies stay as they are.
type table struct {
	records map[Fingerprint]*Record
	max     int
}

func newTable(maxRecords int) *table {
	return &table{records: make(map[Fingerprint]*Record), max: maxRecords}
}

// merge takes over a record and reports whether anything was new.
func (t *table) merge(other *Record, nowMS int64) bool {
	merged := Record{Fingerprint: other.Fingerprint, Caller: other.Caller, Workload: other.Workload}
	known, ok := t.records[other.Fingerprint]
	if ok {
		merged = *known
	}
	if !merged.merge(other) {
		return false
	}
	if merged.lastMS()+quarantineMS <= nowMS {
		return false
	}
	if !ok && len(t.records) >= t.max && !t.evict(nowMS) {
		return false
	}
	t.records[other.Fingerprint] = &merged
	return true
}

// evict drops the record that was quiet for longest, a quarantined one never.
func (t *table) evict(nowMS int64) bool {
	var oldest *Record
	for _, r := range t.records {
		if state, _ := r.state(nowMS); state == Quarantined {
			continue
		}
		if oldest == nil || r.lastMS() < oldest.lastMS() {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.records, oldest.Fingerprint)
	return true
}

// expire drops records that no longer matter.
func (t *table) expire(nowMS int64) {
	for fingerprint, r := range t.records {
		if r.lastMS()+quarantineMS <= nowMS {
			delete(t.records, fingerprint)
		}
	}
}

// digest is equal on two hosts whose records are equal.
func (t *table) digest() uint64 {
	var sum uint64
	for _, r := range t.records {
		sum ^= r.digest()
	}
	return sum
}
