package model

// Shard is one partition of a workload's index and the targets that hold it.
type Shard struct {
	ID       ShardID     `json:"id" validate:"required"`
	Service  ServiceName `json:"service" validate:"required"`
	Replicas []TargetID  `json:"replicas" validate:"min=1,unique,dive,required"`
}

// ShardMap lists the shards of one snapshot of a workload's index.
type ShardMap struct {
	Snapshot SnapshotID `json:"snapshot" validate:"min=1"`
	Shards   []Shard    `json:"shards" validate:"min=1,unique=ID,dive"`
}

// Index lists the snapshots of a workload that targets may hold, oldest first.
type Index struct {
	Snapshots []ShardMap `json:"snapshots" validate:"min=1,max=8,unique=Snapshot,dive"`
}

// Newest returns the shard map of the newest published snapshot.
func (x *Index) Newest() *ShardMap { return &x.Snapshots[len(x.Snapshots)-1] }
