package target

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
)

// UserTimeout bounds the time that sent bytes may stay unacknowledged before the
// kernel closes a connection.
const UserTimeout = 5 * time.Second

// HTTPDialer opens connections for the target protocol over HTTP/1.1.
type HTTPDialer struct {
	// salt makes the exchange ids of this process differ from those of others, so
	// that neither a misrouted answer nor a cancellation matches by accident.
	salt uint64
	net  net.Dialer
	// Memory bounds the replies that are read at once on all connections, of which one may take
	// a quarter; nil for no bound. It is set before the first Dial.
	Memory *bytebudget.Budget
}

// replyShare is the part of the memory that one reply may take, as a divisor.
const replyShare = 4

// maxReply returns the largest body of a reply, in bytes.
func (d *HTTPDialer) maxReply() int {
	if d.Memory == nil {
		return maxReplyBytes
	}
	return int(min(d.Memory.Limit()/replyShare, maxReplyBytes))
}

var _ Dialer = (*HTTPDialer)(nil)

// NewHTTPDialer returns a dialer with a random salt. All its connections share one
// space of exchange ids.
func NewHTTPDialer() *HTTPDialer {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails, by its documentation
	return &HTTPDialer{
		salt: binary.LittleEndian.Uint64(seed[:]),
		net:  net.Dialer{Control: setUserTimeout},
	}
}

// Dial implements Dialer. It waits for the first load report, so that the target
// has accepted the connection when Dial returns it. Its error wraps a *verdict.Error and
// the cause.
func (d *HTTPDialer) Dial(ctx context.Context, t *model.Target, timeout time.Duration) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := d.net.DialContext(ctx, "tcp", t.Addr)
	if err != nil {
		return nil, dialError(t, err)
	}
	conn := newHTTPConn(raw, t.Addr, d)
	if _, err := conn.Probe(ctx); err != nil {
		_ = conn.Close()
		return nil, dialError(t, err)
	}
	return conn, nil
}

func dialError(t *model.Target, err error) error {
	return fmt.Errorf("%w: %w", verdict.Refuse(verdict.TargetUnreachable, 0, "dial target %s at %s", t.ID, t.Addr), err)
}
