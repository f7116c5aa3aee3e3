package model

// Target describes one searcher process as published in the configuration.
type Target struct {
	ID             TargetID      `json:"id" validate:"required"`
	Addr           string        `json:"addr" validate:"required,hostname_port"`
	Region         Region        `json:"region" validate:"required"`
	FailureDomain  FailureDomain `json:"failure_domain" validate:"required"`
	Slots          int           `json:"slots" validate:"min=1,max=1024"`
	MaxConnections int           `json:"max_connections" validate:"min=4,max=65536"`
}
