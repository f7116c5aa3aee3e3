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

// Sizes of handshake messages.
const (
	nonceBytes        = 32
	maxHandshakeBytes = 4096
)

// The labels make the MACs of the two sides differ, so that neither side's proof
// can be replayed as the other's.
const (
	dialerLabel   = "swiftvane peer dialer v1"
	acceptorLabel = "swiftvane peer acceptor v1"
)

// handshakeCause is why a handshake failed. It is the reason tag of a counter.
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

// dialerProof is the dialer's answer to the challenge. It has one MAC for each key
// that the dialer holds.
type dialerProof struct {
	From  model.HostID `cbor:"1,keyasint"`
	To    model.HostID `cbor:"2,keyasint"`
	Nonce []byte       `cbor:"3,keyasint"`
	MACs  [][]byte     `cbor:"4,keyasint"`
}

// acceptorProof ends the handshake. Its MAC proves that the acceptor holds one of
// the dialer's keys.
type acceptorProof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// mac returns the MAC with which one side of a handshake proves that it holds key.
// Each field is preceded by its length, so that different fields never give the
// same input.
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

// dialHandshake proves to the acceptor that this host holds a key, and checks that
// the acceptor holds one too and is the host to.
func dialHandshake(conn *websocket.Conn, self, to model.HostID, keys [][]byte, deadline time.Time) error {
	var c challenge
	if err := readHandshake(conn, &c, deadline); err != nil {
		return err
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	p := dialerProof{From: self, To: to, Nonce: nonce}
	for _, key := range keys {
		p.MACs = append(p.MACs, mac(key, dialerLabel, self, to, c.Nonce, nonce))
	}
	if err := writeHandshake(conn, &p, deadline); err != nil {
		return err
	}
	var w acceptorProof
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

// acceptHandshake authenticates the dialer and returns its host id. The cause is
// empty if and only if the error is nil.
func acceptHandshake(conn *websocket.Conn, self model.HostID, keys [][]byte, deadline time.Time) (model.HostID, handshakeCause, error) {
	nonce, err := newNonce()
	if err != nil {
		return "", causeMalformed, err
	}
	if err := writeHandshake(conn, &challenge{Nonce: nonce}, deadline); err != nil {
		return "", causeMalformed, err
	}
	var p dialerProof
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
	w := acceptorProof{MAC: mac(key, acceptorLabel, p.From, p.To, nonce, p.Nonce)}
	if err := writeHandshake(conn, &w, deadline); err != nil {
		return "", causeMalformed, err
	}
	return p.From, "", nil
}

// matchKey returns the key that one of the proof's MACs was made with, or nil.
func matchKey(p *dialerProof, keys [][]byte, nonce []byte) []byte {
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
