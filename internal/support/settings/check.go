package settings

import (
	"errors"
	"io/fs"
	"net/netip"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var (
	namePattern        = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	placeholderPattern = regexp.MustCompile(`(?i)^(<.*>|\$\{.*\}|\{\{.*\}\}|change[-_ ]?me.*|replace[-_ ]?me.*|your[-_ ].*|todo|tbd|fixme|x{3,}|placeholder)$`)
)

// platformScheme is the scheme that the platform's URL must have.
const platformScheme = "http://"

// newValidator returns a validator with the checks of this package.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	for tag, check := range map[string]func(string) bool{
		"name":       validName,
		"listenaddr": validListenAddr,
		"peeraddr":   validPeerAddr,
		"platformurl": func(url string) bool {
			addr, found := strings.CutPrefix(url, platformScheme)
			return found && validPeerAddr(addr)
		},
	} {
		must(v.RegisterValidation(tag, func(field validator.FieldLevel) bool {
			return check(field.Field().String())
		}))
	}
	return v
}

// must panics on an error that only a programming error can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func validName(name string) bool { return namePattern.MatchString(name) }

// validListenAddr reports whether addr is an IP address and a port. With port 0 the
// system chooses the port.
func validListenAddr(addr string) bool {
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}

// validPeerAddr reports whether addr can be dialed: an IP address other than the
// unspecified one, and a port other than 0.
func validPeerAddr(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	return err == nil && !parsed.Addr().IsUnspecified() && parsed.Port() != 0
}

func isPlaceholder(value string) bool {
	return placeholderPattern.MatchString(strings.TrimSpace(value))
}

// fileErrorText returns the text of a file error without the file's path.
func fileErrorText(err error) string {
	if pathErr, ok := errors.AsType[*fs.PathError](err); ok {
		return pathErr.Err.Error()
	}
	return err.Error()
}

// checkRelations returns the errors that involve two keys.
func (s *Settings) checkRelations() Errors {
	var errs Errors
	requireDistinct := func(path, value, other, otherPath string) {
		if value != "" && value == other && !strings.HasSuffix(value, ":0") {
			errs = append(errs, &FieldError{Path: path, Value: quote(value), Allowed: "an address other than " + otherPath})
		}
	}
	requireDistinct("listen.admin", s.Listen.Admin, s.Listen.Caller, "listen.caller")
	requireDistinct("listen.peer", s.Listen.Peer, s.Listen.Caller, "listen.caller")
	requireDistinct("listen.peer", s.Listen.Peer, s.Listen.Admin, "listen.admin")
	if s.Listen.AdvertisedPeer == "" && validListenAddr(s.Listen.Peer) && !validPeerAddr(s.Listen.Peer) {
		errs = append(errs, &FieldError{Path: "listen.advertised_peer", Value: missing,
			Allowed: "IP:PORT; required if listen.peer has no address that other hosts can reach"})
	}
	for _, seed := range s.Peers.Seeds {
		if seed.ID == s.Host.ID {
			errs = append(errs, &FieldError{Path: "peers.seeds", Value: quote(seed.String()), Allowed: "other hosts than host.id"})
		}
	}
	return errs
}
