package fleet

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Key prefixes of a host list that is encoded as a document.
const (
	prefixHost    = "hosts/"
	prefixLeaving = "leaving/"
)

var listChecker = validator.New(validator.WithRequiredStructEnabled())

// documentOf encodes list as a document, so that deltas carry only the keys that
// changed.
func documentOf(list *model.HostList) (*config.Document, error) {
	doc := &config.Document{Revision: list.Revision, Keys: make(map[string]json.RawMessage, len(list.Hosts))}
	for i := range list.Hosts {
		value, err := json.Marshal(&list.Hosts[i])
		if err != nil {
			return nil, eris.Wrap(err, "fleet: encode host")
		}
		key := prefixHost + string(list.Hosts[i].ID)
		if _, ok := doc.Keys[key]; ok {
			return nil, eris.Errorf("fleet: host list %d: %s is given twice", list.Revision, key)
		}
		doc.Keys[key] = value
	}
	for _, id := range list.LeavingTargets {
		doc.Keys[prefixLeaving+string(id)] = json.RawMessage("true")
	}
	return doc, nil
}

// hostListOf decodes and validates the host list in doc. Hosts and leaving
// targets are sorted by id.
func hostListOf(doc *config.Document) (*model.HostList, error) {
	if doc.Revision == 0 {
		return nil, eris.New("fleet: host list: revision must be at least 1")
	}
	list := &model.HostList{Revision: doc.Revision}
	for key, value := range doc.Keys {
		if id, ok := strings.CutPrefix(key, prefixHost); ok {
			var h model.Host
			if err := json.Unmarshal(value, &h); err != nil {
				return nil, eris.Wrapf(err, "fleet: host list: %s", key)
			}
			if string(h.ID) != id {
				return nil, eris.Errorf("fleet: host list: %s: id is %q", key, h.ID)
			}
			list.Hosts = append(list.Hosts, h)
			continue
		}
		id, ok := strings.CutPrefix(key, prefixLeaving)
		if !ok {
			return nil, eris.Errorf("fleet: host list: unknown key %q", key)
		}
		list.LeavingTargets = append(list.LeavingTargets, model.TargetID(id))
	}
	if err := listChecker.Struct(list); err != nil {
		return nil, eris.Wrapf(err, "fleet: host list %d", list.Revision)
	}
	slices.SortFunc(list.Hosts, func(a, b model.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.Sort(list.LeavingTargets)
	return list, nil
}
