// Package httpreply is the one rule for what counts as a reply in HTTP/1 (RFC 9110, RFC 9112).
// All readers of replies apply it: those that parse bytes themselves by Head and ReadBody, and
// those that use an HTTP library by Conn, which gives the library only what is valid.
//
// Bytes that the protocol does not allow in a reply are an *InvalidError: nothing of them may
// be passed on, their request may have run, and their connection must be closed. Nothing is
// corrected, since the next reader could correct it in another way. The two forms that RFC 9112
// allows recipients to accept stay valid, and are replaced by what they stand for: a head whose
// lines end with LF alone, and values that are folded over several lines.
//
// What a reply states may be larger than memory. Heads are bounded by the reader's buffer,
// interim replies by their number, and bodies by an exchange.BodyLimit.
package httpreply
