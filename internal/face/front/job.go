package front

import (
	"sync"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// job is one request, passed from the reading goroutine to the serving one. Either
// request or malformed is set.
type job struct {
	request   *exchange.Request
	malformed *exchange.Malformed
	// gone is closed when the caller has closed the connection or the server is interrupted.
	gone     chan struct{}
	withdraw func()
}

func newJob() *job {
	gone := make(chan struct{})
	return &job{gone: gone, withdraw: sync.OnceFunc(func() { close(gone) })}
}
