package searcher

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// recordBytes is the size of one record.
const recordBytes = 16

// Sweep is a merged answer as a caller received it. Missing is the number of
// shards that did not answer.
type Sweep struct {
	ID         string
	Signatures []string
	Missing    int
	Body       []byte
}

// Check returns an error unless the body holds the topK greatest records of the
// parts that the signatures identify, and signed and missing parts add up to all
// shards. targets maps each shard to the ids of its searchers; records is the
// number of records of each part.
func (s *Sweep) Check(targets map[string][]string, topK, records int) error {
	if len(s.Signatures)+s.Missing != len(targets) {
		return fmt.Errorf("%d parts and %d missing do not add up to %d shards", len(s.Signatures), s.Missing, len(targets))
	}
	var all [][]byte
	seen := map[string]bool{}
	for _, signature := range s.Signatures {
		service, err := s.shardOf(signature, targets)
		if err != nil {
			return err
		}
		if seen[service] {
			return fmt.Errorf("more than one part of shard %s", service)
		}
		seen[service] = true
		for part := Records(service, s.ID, nil, records); len(part) > 0; part = part[recordBytes:] {
			all = append(all, part[:recordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(bytes.Join(all[:min(topK, len(all))], nil), s.Body) {
		return errors.New("the records are not the greatest of the signed parts")
	}
	return nil
}

// shardOf returns the shard whose searcher made the signature for this request.
func (s *Sweep) shardOf(signature string, targets map[string][]string) (string, error) {
	_, service, _ := strings.Cut(signature, ".")
	for _, id := range targets[service] {
		if signature == Signature(service, id, s.ID) {
			return service, nil
		}
	}
	return "", fmt.Errorf("signature %s does not belong to this request", signature)
}
