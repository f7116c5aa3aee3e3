// Package model defines the basic types of the tier: workloads, services, shards,
// snapshots, targets and hosts. It has no behaviour beyond look-ups in its own
// values and depends on no other package.
package model

// WorkloadName names a workload, such as diff review or order issuing.
type WorkloadName string

// ServiceName names a service of a workload.
type ServiceName string

// ShardID names a shard within a workload's shard map.
type ShardID string

// TargetID identifies a target, which is one process of a search back end.
type TargetID string

// HostID identifies one of the tier's own hosts.
type HostID string

// CallerID identifies a caller for admission and quarantine.
type CallerID string

// Region names a region of hosts and targets.
type Region string

// FailureDomain names a failure domain. Names are unique across regions.
type FailureDomain string

// SnapshotID numbers the versions of a workload's index in increasing order.
type SnapshotID uint64

// Revision numbers published documents and host lists in increasing order.
type Revision uint64

// Incarnation distinguishes successive processes of one host. It is the process's
// start time in Unix milliseconds.
type Incarnation int64
