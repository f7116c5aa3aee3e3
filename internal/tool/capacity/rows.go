package capacity

import "fmt"

const (
	microsecondsPerSecond = 1e6
	percent               = 100
	documents             = 2 // configuration and host list
	watchersPerDomain     = 2
	watchSeconds          = 30
)

// Rows returns the slopes and their extrapolation to size, one figure a row.
func Rows(size *Size, s *Slopes) []Row {
	rows := trafficRows(size, s)
	rows = append(rows, controlRows(size, s)...)
	return append(rows, claimRows(size, s)...)
}

func trafficRows(size *Size, s *Slopes) []Row {
	perHost := size.perHost(size.subrequestsPerSecond())
	local := s.SubrequestUS[size.FanOut]
	perTarget := size.subrequestsPerSecond() / float64(size.Targets)
	slotUS := float64(size.TargetSlots) / perTarget * microsecondsPerSecond
	return []Row{
		Row{
			Role: "entry and dispatch", Quantity: "processor time",
			Measured:  fmt.Sprintf("%.1f µs a sub-request", local),
			AtSize:    fmt.Sprintf("%.0f sub-requests/s a host: %.1f cores", perHost, perHost*local/microsecondsPerSecond),
			Mechanism: "one event loop a query, no lock on control state",
		}.bounded(local, 15, "15 µs"),
		Row{
			Role: "entry to dispatch", Quantity: "processor time with links",
			Measured:  fmt.Sprintf("%.1f µs a sub-request more, both hosts together", s.RemoteUS),
			AtSize:    fmt.Sprintf("%.1f cores a host in all", perHost*(local+s.RemoteUS)/microsecondsPerSecond),
			Mechanism: "many CBOR messages in one WebSocket frame",
		}.bounded(local+s.RemoteUS, 15, "15 µs"),
		{
			Role: "entry to dispatch", Quantity: "network",
			Measured:  fmt.Sprintf("%.0f B a sub-request", s.RemoteBytes),
			AtSize:    bytesText(perHost*s.RemoteBytes) + "/s each way together, with results of this size",
			Mechanism: "the same",
		},
		{
			Role: "entry to dispatch", Quantity: "memory of links",
			Measured:  bytesText(s.LinkBytes) + " a link, both ends",
			AtSize:    fmt.Sprintf("%s for links to and from all %d other hosts", bytesText(s.LinkBytes*float64(size.Hosts-1)), size.Hosts-1),
			Mechanism: "links are opened on demand and closed when idle; not counted as control",
		},
		{
			Role: "target", Quantity: "time a sub-request may take",
			Measured:  "arithmetic",
			AtSize:    fmt.Sprintf("%.0f sub-requests/s; %d slots leave %.0f µs each", perTarget, size.TargetSlots, slotUS),
			Mechanism: "dispatch puts waiting sub-requests into one exchange; see below",
		},
	}
}

func controlRows(size *Size, s *Slopes) []Row {
	if len(s.Fleet) == 0 {
		return nil
	}
	largest := s.Fleet[len(s.Fleet)-1]
	changes := (size.ChangesPerDay + size.HostListChangesPerDay) / secondsPerDay
	core := (largest.CPUUS + changes*(s.ChangeUS+s.LargeChangeUS)) / microsecondsPerSecond
	bytes := largest.Bytes + changes*s.ChangeBytes
	memory := s.ViewBytes + s.DocumentBytes + largest.HeapBytes
	calls := float64(size.FailureDomains*watchersPerDomain*documents) * (1.0/watchSeconds + changes)
	return []Row{
		Row{
			Role: "fleet", Quantity: "processor time",
			Measured:  fmt.Sprintf("%.0f µs/s idle and %.0f µs a change with %d members, %.0f µs a change for %d targets", largest.CPUUS, s.ChangeUS, largest.Members, s.LargeChangeUS, size.Targets),
			AtSize:    fmt.Sprintf("%.2f%% of a core", core*percent),
			Mechanism: "a fixed number of partners and one swap a second",
		}.bounded(core, size.ControlCore, fmt.Sprintf("%.1f%% of a core", size.ControlCore*percent)),
		Row{
			Role: "fleet", Quantity: "traffic",
			Measured:  fmt.Sprintf("%s/s idle, %s a change", bytesText(largest.Bytes), bytesText(s.ChangeBytes)),
			AtSize:    bytesText(bytes) + "/s",
			Mechanism: "changed keys travel, not documents",
		}.bounded(bytes, size.ControlBytesPerSec, bytesText(size.ControlBytesPerSec)+"/s"),
		Row{
			Role: "fleet", Quantity: "memory",
			Measured:  fmt.Sprintf("%s of views, %s of document, %s a member", bytesText(s.ViewBytes), bytesText(s.DocumentBytes), bytesText(largest.HeapBytes)),
			AtSize:    bytesText(memory),
			Mechanism: "one checked copy that all traffic reads",
		}.bounded(memory, size.ControlBytes, bytesText(size.ControlBytes)),
		Row{
			Role: "fleet", Quantity: "time to in force",
			Measured:  fmt.Sprintf("%.0f ms on the last of %d", largest.InForceMS, largest.Members),
			AtSize:    "not measured at this size",
			Mechanism: "push to a few peers at once, then swaps",
		}.bounded(largest.InForceMS, size.InForce.Seconds()*1000, size.InForce.String()),
		{
			Role: "fleet", Quantity: "owners after a host list change",
			Measured:  fmt.Sprintf("%.1f ms for %d targets and %d hosts", s.OwnersMS, size.Targets, size.Hosts),
			AtSize:    fmt.Sprintf("%.3f%% of a core", size.HostListChangesPerDay/secondsPerDay*s.OwnersMS/1000*percent),
			Mechanism: "rendezvous hashing with hashes kept per host and target",
		},
		Row{
			Role: "configuration reader", Quantity: "platform calls",
			Measured:  fmt.Sprintf("%d of %d members watch", largest.Watchers, largest.Members),
			AtSize:    fmt.Sprintf("%.1f/s by watches, and rare polls", calls),
			Mechanism: "two watching hosts a failure domain",
		}.bounded(calls, 2000, "2000/s for all readers"),
	}
}

func claimRows(size *Size, s *Slopes) []Row {
	perHost := size.perHost(size.NonIdempotentPerSecond)
	const retentionSeconds = 600
	entries := perHost * witnesses * retentionSeconds
	return []Row{
		{
			Role: "claim witness", Quantity: "processor time",
			Measured:  fmt.Sprintf("%.0f µs a claim, all hosts together", s.ClaimUS),
			AtSize:    fmt.Sprintf("%.1f claims/s a host: %.2f%% of a core", perHost, perHost*s.ClaimUS/microsecondsPerSecond*percent),
			Mechanism: "up to five witnesses an id, whatever the fleet's size",
		},
		{
			Role: "claim witness", Quantity: "memory",
			Measured:  bytesText(s.ClaimEntryBytes) + " an id",
			AtSize:    fmt.Sprintf("%.0f ids a host: %s", entries, bytesText(entries*s.ClaimEntryBytes)),
			Mechanism: "ids are forgotten after the retention window; full witnesses refuse",
		},
	}
}
