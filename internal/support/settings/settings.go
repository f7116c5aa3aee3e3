// Package settings reads and checks the daemon's TOML settings file.
//
// A file with any bad key is rejected. All bad keys are reported together, each
// with its path, its value and the allowed values; an unknown key is an error. The
// tags of the types below define the reference of all settings: "toml" is the name
// of the key, "validate" its check, "allowed" the description of allowed values and
// "doc" that of its purpose.
package settings

import (
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// Settings holds the daemon's settings.
type Settings struct {
	Host     Host     `toml:"host" doc:"this host"`
	Listen   Listen   `toml:"listen" doc:"the addresses to listen on"`
	Platform Platform `toml:"platform" doc:"the platform's configuration service and host list"`
	Peers    Peers    `toml:"peers" doc:"the links to other hosts"`
	Admin    Admin    `toml:"admin" doc:"the administration API"`
	Limits   Limits   `toml:"limits" doc:"limits of this process"`
	Log      Log      `toml:"log" doc:"the log on standard error"`
	// Secrets holds the contents of the key and token files.
	Secrets Secrets `toml:"-"`
}

// Host identifies this host.
type Host struct {
	ID            model.HostID        `toml:"id" validate:"required,name" allowed:"letters, digits, '.', '_' and '-', at most 64" doc:"Id of this host in the published host list."`
	Region        model.Region        `toml:"region" validate:"required,name" allowed:"letters, digits, '.', '_' and '-', at most 64" doc:"Region of this host."`
	FailureDomain model.FailureDomain `toml:"failure_domain" validate:"required,name" allowed:"letters, digits, '.', '_' and '-', at most 64" doc:"Failure domain of this host, unique across regions."`
}

// Listen holds the listeners' addresses.
type Listen struct {
	Caller string `toml:"caller" validate:"required,listenaddr" allowed:"IP:PORT" doc:"Address for callers."`
	Admin  string `toml:"admin" validate:"required,listenaddr" allowed:"IP:PORT" doc:"Address for the administration API and scrapers."`
	Peer   string `toml:"peer" validate:"required,listenaddr" allowed:"IP:PORT" doc:"Address for other hosts."`
	// AdvertisedPeer defaults to Peer.
	AdvertisedPeer string `toml:"advertised_peer" validate:"omitempty,peeraddr" allowed:"IP:PORT with an address that other hosts reach, not 0.0.0.0 or [::]" doc:"Address that other hosts dial; empty means listen.peer."`
}

// Platform holds the address of the platform.
type Platform struct {
	BaseURL string `toml:"base_url" validate:"required,platformurl" allowed:"http://IP:PORT" doc:"Base URL of the configuration service and host list."`
}

// Peers holds the keys and seeds for links to other hosts.
type Peers struct {
	KeyFiles []string `toml:"key_files" validate:"required,min=1,max=2,unique,dive,required" allowed:"one or two different readable files, each with a key of at least 32 bytes" doc:"Files with the keys that authenticate hosts to each other. The first signs; both are accepted, so that a key can be changed without a stop."`
	Seeds    []Seed   `toml:"seeds" validate:"max=64,unique=ID" allowed:"up to 64 entries ID=IP:PORT with different ids" doc:"Hosts to ask before the platform's host list was read. Optional."`
}

// Admin holds the tokens of the administration API.
type Admin struct {
	ReadTokenFile  string `toml:"read_token_file" validate:"required" allowed:"a readable file with a token of at least 16 bytes" doc:"File with the bearer token that may read."`
	WriteTokenFile string `toml:"write_token_file" validate:"required" allowed:"a readable file with a token of at least 16 bytes, other than the read token" doc:"File with the bearer token that may read and change."`
}

// Limits holds the limits of this process on load, memory and waits.
type Limits struct {
	MaxInflightQueries int `toml:"max_inflight_queries" validate:"min=1,max=1000000" allowed:"1 to 1000000" doc:"Queries in flight; further ones are refused at once."`
	MaxBodyBytes       int `toml:"max_body_bytes" validate:"min=1024,max=67108864" allowed:"1024 to 67108864 bytes" doc:"Size of a caller's request; policy may allow less."`
	MaxFanOut          int `toml:"max_fan_out" validate:"min=1,max=100000" allowed:"1 to 100000" doc:"Shards that one query may ask; a wider one is refused."`
	DeadlineMaxMS      int `toml:"deadline_max_ms" validate:"min=1,max=600000" allowed:"1 to 600000 ms" doc:"Longest deadline that a caller may name; policy may allow less."`
	ReplyBytes         int `toml:"reply_bytes" validate:"min=1048576,max=68719476736" allowed:"1048576 to 68719476736 bytes" doc:"Replies of targets that are read at once, one of them a quarter at most; at the bound the slowest are ended."`
	LameDuckMS         int `toml:"lame_duck_ms" validate:"min=0,max=600000" allowed:"0 to 600000 ms" doc:"Time between reporting not ready and refusing new queries, for the balancer to notice."`
	DrainMS            int `toml:"drain_ms" validate:"min=1,max=3600000" allowed:"1 to 3600000 ms" doc:"Longest wait for requests in flight after that; one second before its end, or a quarter of it if that is shorter, they are answered with host_stopping."`
	ClaimHistoryWaitMS int `toml:"claim_history_wait_ms" validate:"min=0,max=86400000" allowed:"0 to 86400000 ms; 0 only for the first start of a fleet" doc:"How long a host that finds no other with a complete history of host lists refuses requests that must not repeat: until no forgotten claim can be open any more."`
	ClaimEntries       int `toml:"claim_entries" validate:"min=1024,max=100000000" allowed:"1024 to 100000000" doc:"Request ids that this host remembers as a witness; new ones are refused at the bound."`
}

// Log holds the log's settings.
type Log struct {
	Level string `toml:"level" validate:"oneof=error warn info debug trace" allowed:"error, warn, info, debug or trace" doc:"Lowest level that is written."`
}

// Defaults of the optional settings.
const (
	defaultMaxInflightQueries = 4096
	defaultMaxBodyBytes       = 1 << 20
	defaultMaxFanOut          = 4096
	defaultDeadlineMaxMS      = 60_000
	defaultReplyBytes         = 256 << 20
	defaultLameDuckMS         = 3_000
	defaultDrainMS            = 30_000
	defaultClaimEntries       = 1 << 18
	// defaultClaimHistoryWaitMS is the lease of a host list and the retention of
	// request ids, 10 minutes each, plus twice the clock margin of 2 seconds.
	defaultClaimHistoryWaitMS = 1_204_000
)

// Defaults returns settings with all defaults set and the rest empty.
func Defaults() *Settings {
	return &Settings{
		Limits: Limits{
			MaxInflightQueries: defaultMaxInflightQueries,
			MaxBodyBytes:       defaultMaxBodyBytes,
			MaxFanOut:          defaultMaxFanOut,
			DeadlineMaxMS:      defaultDeadlineMaxMS,
			ReplyBytes:         defaultReplyBytes,
			LameDuckMS:         defaultLameDuckMS,
			DrainMS:            defaultDrainMS,
			ClaimEntries:       defaultClaimEntries,
			ClaimHistoryWaitMS: defaultClaimHistoryWaitMS,
		},
		Log: Log{Level: logging.DefaultLevel},
	}
}
