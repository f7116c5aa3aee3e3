package daemon

import (
	"fmt"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/hosts/fleet"
)

// configSource reports the configuration in force.
type configSource struct{ fleet *fleet.Fleet }

// InForce implements admin.ConfigSource.
func (s configSource) InForce() *adminapi.Config {
	view, doc := s.fleet.Current(), s.fleet.Document()
	if view.Fleet == nil || doc == nil {
		return nil
	}
	return &adminapi.Config{
		ConfigStatus: adminapi.ConfigStatus{Revision: doc.Revision, Digest: fmt.Sprintf("%016x", view.Fleet.Digest)},
		Keys:         doc.Keys,
	}
}
