package daemon

import (
	"time"

	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/fleet"
	"github.com/swiftvane/swiftvane/internal/support/settings"
)

// hostLists returns a function that lists the host lists of the retention
// window, newest last.
func hostLists(f *fleet.Fleet) func() []model.HostList {
	return func() []model.HostList {
		return lo.Map(f.HostListHistory().Records, func(r fleet.HostListRecord, _ int) model.HostList { return *r.List })
	}
}

func historyWait(s *settings.Settings) time.Duration {
	return time.Duration(s.Limits.ClaimHistoryWaitMS) * time.Millisecond
}
