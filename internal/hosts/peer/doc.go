// Package peer carries messages between the tier's own processes: CBOR messages
// in WebSocket frames, many messages a frame, with a keyed handshake.
//
// Goroutines of a Mesh:
//
//   - the listener accepts connections.
//   - each link has a reader, a writer and a watch for silence. The reader runs
//     handlers and the done functions of calls, so neither may block; the writer
//     must never wait for anything but its queue and its socket.
//   - callers' goroutines only add to a queue. They never wait for a dial, a
//     write or a lock held during one.
//
// The handshake proves to both sides that the other holds a key. It does not
// encrypt, and frames after it are not signed: whoever can change traffic between
// hosts can change messages.
package peer
