package admin

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/adminapi"
	"github.com/swiftvane/swiftvane/internal/model"
)

const (
	// maxWaits bounds the waiting requests at once.
	maxWaits = 64
	// maxWait bounds one wait.
	maxWait = time.Minute
	// waitInterval is the time between two rounds of asking the hosts.
	waitInterval = 200 * time.Millisecond
)

// getConfigWait answers once each live host has the revision or a newer one, or
// once the time is up.
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
	ctx, cancel := context.WithTimeout(s.stopping, limit)
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		outcome := inForceOn(s.sources.Hosts.AskHosts(s.stopping), revision)
		if outcome.InForce {
			return outcome
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return outcome
		}
	}
}

// inForceOn says host by host whether revision is in force. Hosts that are
// leaving are listed and not waited for.
func inForceOn(hosts []adminapi.HostRevision, revision model.Revision) adminapi.ConfigWait {
	for i := range hosts {
		hosts[i].InForce = hosts[i].Error == "" && hosts[i].Revision >= revision
	}
	return adminapi.ConfigWait{
		Revision: revision,
		Hosts:    hosts,
		InForce: len(hosts) > 0 && lo.EveryBy(hosts, func(h adminapi.HostRevision) bool {
			return h.InForce || h.State == model.Leaving
		}),
	}
}
