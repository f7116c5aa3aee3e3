// Package settings reads and checks the daemon's TOML settings file.
//
// A file is accepted whole or not at all: each bad key is reported with its
// path, its value and what is allowed, all at once, and a key that is not known
// is an error. The tags of the types below are the reference of all settings:
// "toml" names the key, "validate" is the check, "allowed" says what passes it
// and "doc" says what it is for.
package settings

import (
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// Settings is the daemon's checked settings.
type Settings struct {
	Host     Host     `toml:"host" doc:"this host"`
	Listen   Listen   `toml:"listen" doc:"the addresses to listen on"`
	Platform Platform `toml:"platform" doc:"the platform's configuration service and host list"`
	Peers    Peers    `toml:"peers" doc:"the links to other hosts"`
	Admin    Admin    `toml:"admin" doc:"the administration API"`
	Limits   Limits   `toml:"limits" doc:"limits of this process"`
	Log      Log      `toml:"log" doc:"the log on standard error"`
	// Secrets are what the key and token files hold.
	Secrets Secrets `toml:"-"`
}

// Host says which host this is.
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

// Platform says where the platform is.
type Platform struct {
	BaseURL string `toml:"base_url" validate:"required,platformurl" allowed:"http://IP:PORT" doc:"Base URL of the configuration service and host list."`
}

// Peers holds what links to other hosts need.
type Peers struct {
	KeyFiles []string `toml:"key_files" validate:"required,min=1,max=2,unique,dive,required" allowed:"one or two different readable files, each with a key of at least 32 bytes" doc:"Files with the keys that authenticate hosts to each other. The first signs; both are accepted, so that a key can be changed without a stop."`
	Seeds    []Seed   `toml:"seeds" validate:"max=64,unique=ID" allowed:"up to 64 entries ID=IP:PORT with different ids" doc:"Hosts to ask before the platform's host list was read. Optional."`
}

// Admin holds the tokens of the administration API.
type Admin struct {
	ReadTokenFile  string `toml:"read_token_file" validate:"required" allowed:"a readable file with a token of at least 16 bytes" doc:"File with the bearer token that may read."`
	WriteTokenFile string `toml:"write_token_file" validate:"required" allowed:"a readable file with a token of at least 16 bytes, other than the read token" doc:"File with the bearer token that may read and change."`
}

// Limits bounds what this process takes on.
type Limits struct {
	MaxInflightQueries int `toml:"max_inflight_queries" validate:"min=1,max=1000000" allowed:"1 to 1000000" doc:"Queries in flight; further ones are refused at once."`
	MaxBodyBytes       int `toml:"max_body_bytes" validate:"min=1024,max=67108864" allowed:"1024 to 67108864 bytes" doc:"Size of a caller's request; policy may allow less."`
	MaxFanOut          int `toml:"max_fan_out" validate:"min=1,max=100000" allowed:"1 to 100000" doc:"Shards that one query may ask; a wider one is refused."`
	DeadlineMaxMS      int `toml:"deadline_max_ms" validate:"min=1,max=600000" allowed:"1 to 600000 ms" doc:"Longest deadline that a caller may name; policy may allow less."`
	LameDuckMS         int `toml:"lame_duck_ms" validate:"min=0,max=600000" allowed:"0 to 600000 ms" doc:"Time between reporting not ready and refusing new queries, for the balancer to notice."`
	DrainMS            int `toml:"drain_ms" validate:"min=1,max=3600000" allowed:"1 to 3600000 ms" doc:"Longest wait for requests in flight after that."`
	ClaimHistoryWaitMS int `toml:"claim_history_wait_ms" validate:"min=0,max=86400000" allowed:"0 to 86400000 ms; 0 only for the first start of a fleet" doc:"How long a host that finds no other with a complete history of host lists refuses requests that must not repeat: until no forgotten claim can be open any more."`
	ClaimEntries       int `toml:"claim_entries" validate:"min=1024,max=100000000" allowed:"1024 to 100000000" doc:"Request ids that this host remembers as a witness; new ones are refused at the bound."`
}

// Log holds the log's settings.
type Log struct {
	Level string `toml:"level" validate:"oneof=error warn info debug trace" allowed:"error, warn, info, debug or trace" doc:"Lowest level that is written."`
}

// The defaults of the settings that have one.
const (
	defaultMaxInflightQueries = 4096
	defaultMaxBodyBytes       = 1 << 20
	defaultMaxFanOut          = 4096
	defaultDeadlineMaxMS      = 60_000
	defaultLameDuckMS         = 3_000
	defaultDrainMS            = 30_000
	defaultClaimEntries       = 1 << 18
	defaultClaimHistoryWaitMS = 1_204_000
)

// Defaults returns settings with each default set and the rest empty.
func Defaults() *Settings {
	return &Settings{
		Limits: Limits{
			MaxInflightQueries: defaultMaxInflightQueries,
			MaxBodyBytes:       defaultMaxBodyBytes,
			MaxFanOut:          defaultMaxFanOut,
			DeadlineMaxMS:      defaultDeadlineMaxMS,
			LameDuckMS:         defaultLameDuckMS,
			DrainMS:            defaultDrainMS,
			ClaimEntries:       defaultClaimEntries,
			ClaimHistoryWaitMS: defaultClaimHistoryWaitMS,
		},
		Log: Log{Level: logging.DefaultLevel},
	}
}
