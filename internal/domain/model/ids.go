// Package model holds the types that name what the tier serves: workloads,
// services, shards, snapshots, targets and hosts. It has no behaviour beyond
// look-ups on its own values and depends on no other package.
package model

// WorkloadName names a workload, such as diff review or order issuing.
type WorkloadName string

// ServiceName names a service of a workload.
type ServiceName string

// ShardID names a shard within a workload's shard map.
type ShardID string

// TargetID names a target, which is one searcher process.
type TargetID string

// HostID names one of the tier's own hosts.
type HostID string

// CallerID names a caller for admission and quarantine.
type CallerID string

// Region names a region.
type Region string

// FailureDomain names a failure domain; it is unique across regions.
type FailureDomain string

// SnapshotID numbers the versions of a workload's index; it only rises.
type SnapshotID uint64

// Revision numbers published documents and host lists; it only rises.
type Revision uint64

// Incarnation tells apart the processes that one host ran. It is the process's
// start time in Unix milliseconds.
type Incarnation int64
