package rawserver

import (
	"bytes"
	"math/rand/v2"
)

// maxMutations bounds the changes to one head.
const maxMutations = 4

// Mutate returns a reply whose head has random errors. The body is unchanged.
func Mutate(reply []byte, random *rand.Rand) []byte {
	end := bytes.Index(reply, []byte("\r\n\r\n"))
	head, body := bytes.Clone(reply[:end]), reply[end:]
	for range 1 + random.IntN(maxMutations) {
		head = mutateOnce(head, random)
	}
	return append(head, body...)
}

// mutateOnce replaces, inserts, deletes or repeats bytes at a random place, or cuts the head there.
func mutateOnce(head []byte, random *rand.Rand) []byte {
	if len(head) == 0 {
		return head
	}
	at := random.IntN(len(head))
	anyByte := []byte{byte(random.IntN(256))}
	switch random.IntN(5) {
	case 0:
		head[at] = anyByte[0]
		return head
	case 1:
		return bytes.Join([][]byte{head[:at], head[at:]}, anyByte)
	case 2:
		return bytes.Join([][]byte{head[:at], head[at+1:]}, nil)
	case 3:
		return head[:at]
	default:
		return bytes.Join([][]byte{head[:at], head[at/2:]}, nil)
	}
}
