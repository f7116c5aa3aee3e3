package quarantine

// table holds the records of a host. It is owned by one goroutine. Records are
// replaced, never modified, because published copies share them.
type table struct {
	records map[Fingerprint]*Record
	max     int
}

func newTable(maxRecords int) *table {
	return &table{records: make(map[Fingerprint]*Record), max: maxRecords}
}

// merge adds a record's state and reports whether the table changed. Expired
// records are ignored, as are new ones if the table is full of quarantined ones.
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

// evict removes the record with the oldest last change that is not quarantined. It
// reports whether there was one.
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

// expire removes the records whose last change is QuarantineTime ago or longer.
func (t *table) expire(nowMS int64) {
	for fingerprint, r := range t.records {
		if r.lastMS()+quarantineMS <= nowMS {
			delete(t.records, fingerprint)
		}
	}
}

// digest returns a hash of all records. It is equal on hosts with equal records.
func (t *table) digest() uint64 {
	var sum uint64
	for _, r := range t.records {
		sum ^= r.digest()
	}
	return sum
}
