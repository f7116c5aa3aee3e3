// Package fleet maintains this host's view of the fleet: the configuration in
// force, the host list, and the hosts and targets that are leaving. It reads the
// platform within a call budget that does not grow with the number of hosts,
// replicates changes between peers by gossip, and publishes immutable views for
// the query path.
//
// Goroutines of a Fleet:
//
//   - control owns all state and builds views. It must never wait for the
//     network, the platform or a lock that the query path holds.
//   - two readers, one for the configuration and one for the host list, wait for
//     the platform. They must never change state; they post events to control.
//   - the pause detector watches a ticker. It must never block.
//   - message handlers run in the transport's goroutines. They answer from the
//     last published state and post events; they must never wait for control.
package fleet
