package capacity

import (
	"runtime"
	"time"

	"github.com/swiftvane/swiftvane/internal/config"
	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/ownership"
	"github.com/swiftvane/swiftvane/internal/view"
)

// viewCost is what a host's picture of the fleet costs at the design size.
type viewCost struct{ viewBytes, documentBytes, ownersMS float64 }

// measureView builds the configuration, host list and owners of a whole fleet.
func measureView(size *Size) (viewCost, error) {
	start := usedMemory()
	doc, err := documentOf(1, size.Targets, size)
	if err != nil {
		return viewCost{}, err
	}
	withDocument := usedMemory()
	fleet, err := config.Parse(doc)
	if err != nil {
		return viewCost{}, err
	}
	list := &model.HostList{Revision: 1}
	for i := range size.Hosts {
		list.Hosts = append(list.Hosts, hostAt(i, "10.0.0.1:9000", size))
	}
	began := time.Now()
	owners := ownership.Build(list.Hosts, fleet.Targets)
	took := time.Since(began)
	v := &view.View{Fleet: fleet, Hosts: list, Owners: owners}
	cost := viewCost{
		documentBytes: withDocument - start,
		viewBytes:     usedMemory() - withDocument,
		ownersMS:      took.Seconds() * 1000,
	}
	runtime.KeepAlive(v)
	runtime.KeepAlive(doc)
	return cost, nil
}
