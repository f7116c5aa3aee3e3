package capacity

import (
	"runtime"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/ownership"
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// viewCost is the cost of one host's view of the fleet at the design size.
type viewCost struct{ viewBytes, documentBytes, ownersMS, changeUS float64 }

// measureView measures building the configuration, host list and owners of a fleet
// of the given size.
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
	cost.changeUS, err = measureChange(doc, fleet)
	runtime.KeepAlive(v)
	runtime.KeepAlive(doc)
	return cost, err
}

// measureChange returns the processor time of applying one changed key, in
// microseconds.
func measureChange(doc *config.Document, fleet *config.Fleet) (float64, error) {
	next, err := nextDocument(doc)
	if err != nil {
		return 0, err
	}
	delta := config.DiffWithDigests(doc, next, fleet.Digest, config.Digest(next.Keys))
	return cpuPer(changesMeasured, func() error {
		for range changesMeasured {
			changed, err := delta.ApplyWithDigest(doc, fleet.Digest)
			if err != nil {
				return err
			}
			if _, err := config.ParseIncremental(changed, fleet, delta.ToDigest); err != nil {
				return err
			}
		}
		return nil
	})
}
