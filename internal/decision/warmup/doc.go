// Package warmup decides how many requests a host may send to a cold target.
//
// It answers the load of targets that have just started and crash if all hosts together
// send them requests at the usual rate. Hosts don't know of each other's requests, and
// there is no place for a common count, so each host gets a fixed share of a cold target's
// rate from a list of hosts. Readers issue these lists, each reader its own.
//
// Invariant: for any order of joins, losses, partitions, freezes and late messages, all
// hosts together start at most Permits requests to a cold target in any Interval for each
// reader, so with at most MaxReaders readers no more than the target's bound. It follows
// from:
//
//   - The shares of one list add up to at most Permits, because a list counts at least the
//     hosts that are linked to its reader when it is issued (List.Share).
//   - A host counts its own requests in an exact sliding Interval, whatever lists it had
//     (Window).
//   - A host that uses a list at time t had it from the same reader over the same link for
//     StableFor, and asked for the last confirmation within FreshFor before t. So the list
//     was the reader's current one from t-StableFor to t-FreshFor at least. Two lists of a
//     reader are never current at once, so uses of different lists are StableFor-FreshFor
//     apart, which is an Interval (Lease).
//
// The times of sending count. An Interval is longer than the second of the bound, since
// requests take different times to the target.
//
// The package does no I/O and starts no goroutines; the time is an argument.
package warmup
