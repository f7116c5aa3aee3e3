package admin

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
)

const (
	// maxWaits bounds the number of concurrently waiting requests.
	maxWaits = 64
	// maxWait bounds the duration of one wait.
	maxWait = time.Minute
	// waitInterval is the interval at which a waiting request polls the status.
	waitInterval = 50 * time.Millisecond
)

// getConfigWait answers as soon as the revision or a newer one is in force on each
// live host, or after the timeout.
func (s *Server) getConfigWait(c *fiber.Ctx) error {
	revision, err := strconv.ParseUint(c.Query("revision"), 10, 64)
	if err != nil || revision == 0 {
		return s.refuse(c, fiber.StatusBadRequest, adminapi.BadRequest, "revision", fmt.Sprintf("%q is not a whole number from 1", c.Query("revision")))
	}
	wait, err := strconv.ParseInt(c.Query("timeout_ms", "0"), 10, 64)
	if err != nil || wait < 0 || wait > maxWait.Milliseconds() {
		return s.refuse(c, fiber.StatusBadRequest, adminapi.BadRequest, "timeout_ms", fmt.Sprintf("%q is not 0 to %d", c.Query("timeout_ms"), maxWait.Milliseconds()))
	}
	select {
	case s.waits <- struct{}{}:
		defer func() { <-s.waits }()
	default:
		return s.refuse(c, fiber.StatusTooManyRequests, adminapi.TooManyWaits, "", fmt.Sprintf("%d requests wait already", maxWaits))
	}
	return c.JSON(s.waitFor(model.Revision(revision), time.Duration(wait)*time.Millisecond))
}

func (s *Server) waitFor(revision model.Revision, limit time.Duration) adminapi.ConfigWait {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		outcome := configWait(s.sources.Status.Status(), revision)
		if outcome.InForce {
			return outcome
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return configWait(s.sources.Status.Status(), revision)
		case <-s.stopping.Done():
			return outcome
		}
	}
}

// configWait reports for each host whether revision is in force. Leaving hosts are
// listed but do not count for InForce.
func configWait(status adminapi.Status, revision model.Revision) adminapi.ConfigWait {
	hosts := []adminapi.HostRevision{{
		ID: status.Self.ID, State: status.Self.State, Revision: status.Config.Revision,
	}}
	for _, host := range status.Hosts {
		if host.ID != status.Self.ID {
			hosts = append(hosts, adminapi.HostRevision{
				ID: host.ID, State: host.State, Revision: host.Config.Revision, AgeMS: host.AgeMS,
			})
		}
	}
	for i := range hosts {
		hosts[i].InForce = hosts[i].Revision >= revision
	}
	return adminapi.ConfigWait{
		Revision: revision,
		Hosts:    hosts,
		InForce: lo.EveryBy(hosts, func(h adminapi.HostRevision) bool {
			return h.InForce || h.State == model.Leaving
		}),
	}
}
