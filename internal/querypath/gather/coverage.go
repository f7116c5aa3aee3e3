package gather

import (
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Answered identifies a shard that the answer covers.
type Answered struct {
	Shard   model.ShardID     `json:"shard"`
	Service model.ServiceName `json:"service"`
}

// Missing identifies a shard that the answer does not cover, with the reason.
type Missing struct {
	Shard   model.ShardID     `json:"shard"`
	Service model.ServiceName `json:"service"`
	Reason  verdict.Reason    `json:"reason"`
}

// Coverage lists the shards of the plan that an answer covers and those it does not.
type Coverage struct {
	Total    int        `json:"total"`
	Answered []Answered `json:"answered"`
	Missing  []Missing  `json:"missing"`
}

// Share returns the share of shards that were answered, from 0 to 1.
func (c *Coverage) Share() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(len(c.Answered)) / float64(c.Total)
}

// Result is the complete result of one shard.
type Result struct {
	Shard   model.ShardID
	Service model.ServiceName
	Body    []byte
}
