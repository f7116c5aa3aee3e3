package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// recordsOfEarlierBuild returns a record whose caller's name is no UTF-8, and a sound one. Hosts of
// earlier builds take such names from callers.
func recordsOfEarlierBuild() (records []*Record, odd, sound Fingerprint) {
	record := func(caller model.CallerID) *Record {
		return &Record{
			Fingerprint: FingerprintOf(caller, "w", nil), Caller: caller, Workload: "w",
			Notes: []Note{{ID: NoteID{Host: "host-1", Incarnation: 1, Seq: 1}, Target: "t-1", AtMS: time.Now().UnixMilli()}},
		}
	}
	bad, good := record("odd\xe9\xff"), record("sound")
	return []*Record{bad, good}, bad.Fingerprint, good.Fingerprint
}

// TestRecordOfEarlierBuildCostsNoOtherRecord guards against one caller's name that is no UTF-8 and makes
// all records of a message unreadable, so that a host doesn't know requests that crash targets.
func TestRecordOfEarlierBuildCostsNoOtherRecord(t *testing.T) {
	records, odd, sound := recordsOfEarlierBuild()
	for name, deliver := range map[string]func(*Service, *testNet){
		"notes": func(_ *Service, net *testNet) {
			payload, err := cbor.Marshal(&message{Operation: operationNotes, Records: records})
			require.NoError(t, err)
			net.handlers[testHostID(0)](&peer.Inbound{From: testHostID(1), Kind: peer.KindQuarantineNote, Payload: payload})
		},
		"sync": func(s *Service, net *testNet) {
			net.mu.Lock()
			net.handlers[testHostID(1)] = func(in *peer.Inbound) {
				if in.Reply != nil {
					in.Reply(&answer{Records: records})
				}
			}
			net.mu.Unlock()
			s.syncWithRandomHost(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			services, net := newTestFleet(t, 2)
			deliver(services[0], net)
			known := func() map[Fingerprint]*Record { return *services[0].published.Load() }
			require.Eventually(t, func() bool { return known()[sound] != nil }, 5*time.Second, time.Millisecond)
			require.NotContains(t, known(), odd, "hosts of earlier builds could not read a list with it")
		})
	}
}
