package relay

import (
	"encoding/binary"
	"slices"
)

// recordBytes is the size of one record of a shard's reply.
const recordBytes = 16

// record is a record as two big-endian numbers, which compare like its bytes.
type record struct{ high, low uint64 }

func (a record) less(b record) bool {
	return a.high < b.high || a.high == b.high && a.low < b.low
}

// greatest returns the k greatest records of all parts in descending order. It keeps
// duplicates and ignores an incomplete record at the end of a part.
func greatest(parts [][]byte, k int) []byte {
	if k <= 0 {
		return nil
	}
	available := 0
	for _, part := range parts {
		available += len(part) / recordBytes
	}
	kept := make([]record, 0, min(k, available))
	for _, part := range parts {
		for ; len(part) >= recordBytes; part = part[recordBytes:] {
			r := record{high: binary.BigEndian.Uint64(part), low: binary.BigEndian.Uint64(part[8:])}
			kept = pushBounded(kept, r, k)
		}
	}
	slices.SortFunc(kept, func(a, b record) int {
		switch {
		case b.less(a):
			return -1
		case a.less(b):
			return 1
		default:
			return 0
		}
	})
	out := make([]byte, 0, len(kept)*recordBytes)
	for _, r := range kept {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}

// pushBounded adds r to a min-heap that holds the k greatest records.
func pushBounded(heap []record, r record, k int) []record {
	if len(heap) < k {
		heap = append(heap, r)
		for i := len(heap) - 1; i > 0 && heap[i].less(heap[(i-1)/2]); i = (i - 1) / 2 {
			heap[i], heap[(i-1)/2] = heap[(i-1)/2], heap[i]
		}
		return heap
	}
	if !heap[0].less(r) {
		return heap
	}
	heap[0] = r
	siftDown(heap)
	return heap
}

// siftDown restores the heap order after the first record was replaced.
func siftDown(heap []record) {
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if heap[child].less(heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}
