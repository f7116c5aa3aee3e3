// Package fleet keeps this host's picture of the fleet: the configuration in
// force, the host list, and which hosts and targets are leaving. It reads the
// platform within a fixed call budget, swaps news with peers, and publishes an
// immutable view for traffic.
//
// Goroutines of a Fleet:
//
//   - control owns all state and builds views. It must never wait for the
//     network, the platform or a lock that traffic holds.
//   - two readers, for the configuration and the host list, wait for the
//     platform. They must never change state; they post events to control.
//   - the pause detector watches a ticker. It must do nothing that can block.
//   - message handlers run in the transport's goroutines. They answer from the
//     last published state and post events; they must never wait for control.
package fleet
