package targetpool

import "errors"

// Errors of calls without a reply and of connections that ended without one.
var (
	ErrUnreachable = errors.New("no connection to the target")
	ErrClosed      = errors.New("the target is no longer in use")
	ErrLeaving     = errors.New("the target is leaving")
	ErrPaused      = errors.New("the target asked for a pause")
	ErrEvacuated   = errors.New("the target's failure domain is evacuated")
	ErrWarming     = errors.New("this host has no permit for the cold target")
	ErrLimited     = errors.New("this host has no permit for the target, which limits its request rate")
	ErrExpired     = errors.New("the deadline passed before a connection was free")
	errNoReply     = errors.New("the connection ended before any reply")
	errStrayBytes  = errors.New("unexpected bytes on an idle connection")
)
