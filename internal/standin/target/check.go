package target

import "github.com/rotisserie/eris"

// Check returns an error for the first value found that is out of range or not a known
// fault.
func (f *Faults) Check() error {
	shares := map[string]float64{
		"straggler_share": f.StragglerShare,
		"shed_share":      f.ShedShare,
		"fail_share":      f.FailShare,
		"reply_share":     f.ReplyShare,
	}
	for name, share := range shares {
		if share < 0 || share > 1 {
			return eris.Errorf("%s: %v is not between 0 and 1", name, share)
		}
	}
	switch f.Reply {
	case "", ReplySwapped, ReplyRepeated, ReplyShort, ReplyTruncated, ReplyCut, ReplyRaw, ReplyCrossed, ReplyDelayed:
	default:
		return eris.Errorf("reply: %q is not a known fault", f.Reply)
	}
	switch f.Health {
	case "", AlwaysHealthy, AlwaysUnhealthy:
	default:
		return eris.Errorf("health: %q is not a known fault", f.Health)
	}
	if f.LatencyMedianUS < 0 || f.ColdMS < 0 || f.RestartMS < 0 || f.ReplyDelayMS < 0 {
		return eris.New("latency_median_us, cold_ms, restart_ms, reply_delay_ms: must not be negative")
	}
	return nil
}
