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

// Sweep is a merged answer as a caller got it.
type Sweep struct {
	ID         string
	Signatures []string
	Missing    int
	Body       []byte
}

// Check compares a merged answer with what the parts that it names hold. targets
// has the ids of the searchers of each shard, topK and records are the numbers of
// records of the answer and of each part.
func (s *Sweep) Check(targets map[string][]string, topK, records int) error {
	if len(s.Signatures)+s.Missing != len(targets) {
		return fmt.Errorf("%d parts and %d missing of %d shards", len(s.Signatures), s.Missing, len(targets))
	}
	var all [][]byte
	seen := map[string]bool{}
	for _, signature := range s.Signatures {
		service, err := s.shardOf(signature, targets)
		if err != nil {
			return err
		}
		if seen[service] {
			return fmt.Errorf("two parts of %s", service)
		}
		seen[service] = true
		for part := Records(service, s.ID, nil, records); len(part) > 0; part = part[recordBytes:] {
			all = append(all, part[:recordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(bytes.Join(all[:min(topK, len(all))], nil), s.Body) {
		return errors.New("the records are not the greatest of the parts named")
	}
	return nil
}

// shardOf returns the shard that signed its part of this request.
func (s *Sweep) shardOf(signature string, targets map[string][]string) (string, error) {
	_, service, _ := strings.Cut(signature, ".")
	for _, id := range targets[service] {
		if signature == Signature(service, id, s.ID) {
			return service, nil
		}
	}
	return "", fmt.Errorf("signature %s is not of this request", signature)
}
