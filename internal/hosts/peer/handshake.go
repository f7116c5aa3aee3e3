package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Sizes of the handshake.
const (
	nonceBytes        = 32
	maxHandshakeBytes = 4096
)

// Labels keep the two sides' proofs apart, so that neither can be replayed as
// the other.
const (
	dialerLabel   = "swiftvane peer dialer v1"
	acceptorLabel = "swiftvane peer acceptor v1"
)

// handshakeCause says why a handshake failed; it is a counter's reason tag.
type handshakeCause string

const (
	causeMalformed handshakeCause = "handshake_malformed"
	causeWrongKey  handshakeCause = "wrong_key"
	causeWrongHost handshakeCause = "wrong_host"
)

// challenge is the acceptor's first message.
type challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// proof is the dialer's answer. It has one MAC for each key the dialer holds.
type proof struct {
	From  model.HostID `cbor:"1,keyasint"`
	To    model.HostID `cbor:"2,keyasint"`
	Nonce []byte       `cbor:"3,keyasint"`
	MACs  [][]byte     `cbor:"4,keyasint"`
}

// welcome ends the handshake: the acceptor proves that it holds the key too.
type welcome struct {
	MAC []byte `cbor:"1,keyasint"`
}

// mac authenticates one side of a handshake. Fields carry their length, so that
// no two handshakes give the same input.
func mac(key []byte, label string, from, to model.HostID, acceptorNonce, dialerNonce []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, field := range [][]byte{[]byte(label), []byte(from), []byte(to), acceptorNonce, dialerNonce} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return h.Sum(nil)
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, eris.Wrap(err, "peer: nonce")
	}
	return nonce, nil
}

// dialHandshake proves to the acceptor that this host holds a key and checks
// that the acceptor does and is the host meant.
func dialHandshake(conn *websocket.Conn, self, to model.HostID, keys [][]byte, deadline time.Time) error {
	var c challenge
	if err := readHandshake(conn, &c, deadline); err != nil {
		return err
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	p := proof{From: self, To: to, Nonce: nonce}
	for _, key := range keys {
		p.MACs = append(p.MACs, mac(key, dialerLabel, self, to, c.Nonce, nonce))
	}
	if err := writeHandshake(conn, &p, deadline); err != nil {
		return err
	}
	var w welcome
	if err := readHandshake(conn, &w, deadline); err != nil {
		return err
	}
	for _, key := range keys {
		if hmac.Equal(w.MAC, mac(key, acceptorLabel, self, to, c.Nonce, nonce)) {
			return nil
		}
	}
	return eris.New("peer: the acceptor does not hold the key")
}

// acceptHandshake checks the dialer and returns its id. The cause is empty if
// and only if err is nil.
func acceptHandshake(conn *websocket.Conn, self model.HostID, keys [][]byte, deadline time.Time) (model.HostID, handshakeCause, error) {
	nonce, err := newNonce()
	if err != nil {
		return "", causeMalformed, err
	}
	if err := writeHandshake(conn, &challenge{Nonce: nonce}, deadline); err != nil {
		return "", causeMalformed, err
	}
	var p proof
	if err := readHandshake(conn, &p, deadline); err != nil {
		return "", causeMalformed, err
	}
	if p.From == "" || len(p.Nonce) != nonceBytes || len(p.MACs) > MaxKeys {
		return "", causeMalformed, eris.New("peer: malformed proof")
	}
	key := matchKey(&p, keys, nonce)
	if key == nil {
		return "", causeWrongKey, eris.New("peer: the dialer does not hold a valid key")
	}
	if p.To != self {
		return "", causeWrongHost, eris.Errorf("peer: the dialer wants host %q", p.To)
	}
	w := welcome{MAC: mac(key, acceptorLabel, p.From, p.To, nonce, p.Nonce)}
	if err := writeHandshake(conn, &w, deadline); err != nil {
		return "", causeMalformed, err
	}
	return p.From, "", nil
}

// matchKey returns the key that one of the proof's MACs was made with.
func matchKey(p *proof, keys [][]byte, nonce []byte) []byte {
	for _, key := range keys {
		want := mac(key, dialerLabel, p.From, p.To, nonce, p.Nonce)
		for _, got := range p.MACs {
			if hmac.Equal(got, want) {
				return key
			}
		}
	}
	return nil
}

func readHandshake(conn *websocket.Conn, v any, deadline time.Time) error {
	conn.SetReadLimit(maxHandshakeBytes)
	if err := conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	_, data, err := conn.ReadMessage()
	if err != nil {
		return eris.Wrap(err, "peer: read handshake")
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return Decode(data, v)
}

func writeHandshake(conn *websocket.Conn, v any, deadline time.Time) error {
	data, err := encodePayload(v)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if err := conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return eris.Wrap(err, "peer: write handshake")
	}
	return nil
}
