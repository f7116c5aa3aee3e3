// Package peer sends messages between the hosts of the tier. Messages are encoded
// in CBOR and batched into WebSocket frames; a keyed handshake authenticates each
// link.
//
// Goroutines of a Mesh:
//
//   - the listener accepts connections.
//   - each link has a reader, a writer and a watchdog that closes the link when it
//     is silent. The reader runs handlers and the done functions of calls, so
//     neither may block. The writer must wait only for its queue and its socket.
//   - goroutines that send a message only add it to a queue. They never wait for
//     a dial, a write or a lock that is held during one.
//
// The handshake proves to each side that the other holds a key. It does not
// encrypt, and frames after it are not signed: an attacker who can change traffic
// between hosts can change messages.
package peer
