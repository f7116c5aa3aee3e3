package capacity

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

// linksMeasured is the number of links over which the memory of one is averaged.
const linksMeasured = 200

// measureLinks returns the memory of one idle link in bytes, both ends together.
func measureLinks(ctx context.Context, log logrus.FieldLogger) (float64, error) {
	addrs := map[model.HostID]string{measuredHost: loopback.Addr()}
	for i := range linksMeasured {
		addrs[remoteHost(i)] = loopback.Addr()
	}
	meshes := make([]*peer.Mesh, 0, len(addrs))
	defer func() {
		for _, m := range meshes {
			_ = m.Close()
		}
	}()
	for id := range addrs {
		m, err := newMesh(id, addrs, tally.NoopScope, log)
		if err != nil {
			return 0, err
		}
		m.Handle(peer.KindStatus, func(in *peer.Inbound) { in.Reply(struct{}{}) })
		if err := m.Start(ctx); err != nil {
			return 0, err
		}
		meshes = append(meshes, m)
	}
	caller := meshes[0]
	before := usedMemory()
	opened := 0
	for id := range addrs {
		if addrs[id] == caller.Addr() {
			continue
		}
		var reply struct{}
		if err := caller.Call(ctx, id, peer.KindStatus, struct{}{}, &reply); err != nil {
			return 0, eris.Wrapf(err, "link to %s", id)
		}
		opened++
	}
	return (usedMemory() - before) / float64(opened), nil
}

func remoteHost(i int) model.HostID { return model.HostID(fmt.Sprintf("remote-%04d", i)) }
