package model

// Target describes one target as published in the configuration.
type Target struct {
	ID            TargetID      `json:"id" validate:"required"`
	Addr          string        `json:"addr" validate:"required,hostname_port"`
	Region        Region        `json:"region" validate:"required"`
	FailureDomain FailureDomain `json:"failure_domain" validate:"required"`
	// Slots is how many requests the target runs at once. A host has at most as many
	// exchanges with it in progress.
	Slots int `json:"slots" validate:"min=1,max=1024"`
	// MaxConnections is how many connections the target accepts from all hosts
	// together. A host that owns the target or is its standby opens at most a quarter
	// of them; the minimum of 4 makes that at least one.
	MaxConnections int `json:"max_connections" validate:"min=4,max=65536"`
}
