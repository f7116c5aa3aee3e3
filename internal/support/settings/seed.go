package settings

import (
	"fmt"
	"strings"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Seed is a host that the settings name, with its peer address.
type Seed struct {
	ID   model.HostID
	Addr string
}

// ParseSeed reads a seed written ID=IP:PORT.
func ParseSeed(text string) (Seed, error) {
	id, addr, found := strings.Cut(text, "=")
	if !found || !validName(id) || !validPeerAddr(addr) {
		return Seed{}, fmt.Errorf("%q is not ID=IP:PORT", text)
	}
	return Seed{ID: model.HostID(id), Addr: addr}, nil
}

// String returns the form that ParseSeed reads.
func (s Seed) String() string { return string(s.ID) + "=" + s.Addr }
