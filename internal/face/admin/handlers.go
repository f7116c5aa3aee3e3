package admin

import (
	"fmt"
	"strconv"

	"github.com/gofiber/fiber/v2"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/configcheck"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
)

func (s *Server) getHealth(c *fiber.Ctx) error {
	return c.JSON(adminapi.Health{OK: true})
}

func (s *Server) getReady(c *fiber.Ctx) error {
	status := s.sources.Status.Status()
	if status.Ready {
		return c.JSON(adminapi.Health{OK: true})
	}
	return c.Status(fiber.StatusServiceUnavailable).JSON(adminapi.Health{Because: status.NotReadyBecause})
}

func (s *Server) getStatus(c *fiber.Ctx) error {
	return c.JSON(s.sources.Status.Status())
}

func (s *Server) getConfig(c *fiber.Ctx) error {
	inForce := s.sources.Config.InForce()
	if inForce == nil {
		return s.refuse(c, fiber.StatusServiceUnavailable, adminapi.NoConfig, "", "no configuration is in force yet")
	}
	return c.JSON(inForce)
}

func (s *Server) postConfigCheck(c *fiber.Ctx) error {
	problems := configcheck.Check(c.Body())
	if problems == nil {
		problems = []config.Problem{}
	}
	return c.JSON(adminapi.ConfigCheck{Valid: len(problems) == 0, Problems: problems})
}

func (s *Server) getTargets(c *fiber.Ctx) error {
	return c.JSON(adminapi.Targets{Targets: s.sources.Targets.Targets()})
}

func (s *Server) getQuarantine(c *fiber.Ctx) error {
	return c.JSON(adminapi.Quarantine{Entries: s.sources.Quarantine.Entries()})
}

func (s *Server) deleteQuarantine(c *fiber.Ctx) error {
	text := c.Params("fingerprint")
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return s.refuse(c, fiber.StatusBadRequest, adminapi.BadRequest, "fingerprint", fmt.Sprintf("%q is not 1 to 16 hexadecimal digits", text))
	}
	if !s.sources.Quarantine.Release(fingerprint) {
		return s.refuse(c, fiber.StatusNotFound, adminapi.NotFound, "fingerprint", fmt.Sprintf("%s is not quarantined", text))
	}
	s.log.WithField("fingerprint", text).Info("quarantine released by an operator")
	return c.JSON(adminapi.Released{Fingerprint: text})
}

func (s *Server) postDrain(c *fiber.Ctx) error {
	began := s.sources.Drainer.Drain()
	return c.Status(fiber.StatusAccepted).JSON(adminapi.Drain{Draining: true, Already: !began})
}
