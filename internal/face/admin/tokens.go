package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/gofiber/fiber/v2"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
)

// scope is the access that a token grants.
type scope int

const (
	scopeNone scope = iota
	scopeRead
	scopeWrite
)

// tokens checks bearer tokens in constant time. It compares hashes, so that the
// time taken reveals neither the content nor the length of a token.
type tokens struct {
	read, write [sha256.Size]byte
}

func newTokens(read, write []byte) tokens {
	return tokens{read: sha256.Sum256(read), write: sha256.Sum256(write)}
}

func (t *tokens) scopeOf(token string) scope {
	sum := sha256.Sum256([]byte(token))
	isRead := subtle.ConstantTimeCompare(sum[:], t.read[:])
	isWrite := subtle.ConstantTimeCompare(sum[:], t.write[:])
	return scope(max(isRead*int(scopeRead), isWrite*int(scopeWrite)))
}

const bearerPrefix = "Bearer "

// requireScope returns a handler that passes on only requests whose token grants
// at least need.
func (s *Server) requireScope(need scope) fiber.Handler {
	return func(c *fiber.Ctx) error {
		header := c.Get(fiber.HeaderAuthorization)
		if len(header) < len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
			c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
			return s.refuse(c, fiber.StatusUnauthorized, adminapi.TokenMissing, "", "a bearer token is needed")
		}
		switch have := s.tokens.scopeOf(header[len(bearerPrefix):]); {
		case have == scopeNone:
			c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
			return s.refuse(c, fiber.StatusUnauthorized, adminapi.TokenWrong, "", "the token is not known")
		case have < need:
			return s.refuse(c, fiber.StatusForbidden, adminapi.TokenReadOnly, "", "the token may only read")
		}
		return c.Next()
	}
}
