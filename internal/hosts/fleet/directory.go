package fleet

import (
	"maps"
	"sync/atomic"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Directory maps hosts to their peer addresses. The transport and the Fleet share
// it, so it is created before both. It is safe for concurrent use.
type Directory struct {
	seeds map[model.HostID]model.Host
	table atomic.Pointer[map[model.HostID]model.Host]
}

// NewDirectory returns a directory of seeds, the hosts named in the settings. A
// host list adds hosts and replaces the entries of seeds that it names.
func NewDirectory(seeds []model.Host) *Directory {
	d := &Directory{seeds: make(map[model.HostID]model.Host, len(seeds))}
	for _, h := range seeds {
		d.seeds[h.ID] = h
	}
	table := maps.Clone(d.seeds)
	d.table.Store(&table)
	return d
}

// Lookup returns the peer address of a host.
func (d *Directory) Lookup(id model.HostID) (string, bool) {
	h, ok := (*d.table.Load())[id]
	return h.PeerAddr, ok
}

// replace sets the directory to the hosts of list. Seeds that list lacks are
// kept, since list may be older than the settings.
func (d *Directory) replace(list *model.HostList) {
	table := maps.Clone(d.seeds)
	for _, h := range list.Hosts {
		table[h.ID] = h
	}
	d.table.Store(&table)
}

// hosts returns all known hosts.
func (d *Directory) hosts() []model.Host {
	table := *d.table.Load()
	hosts := make([]model.Host, 0, len(table))
	for _, h := range table {
		hosts = append(hosts, h)
	}
	return hosts
}
