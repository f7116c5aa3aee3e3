package integration

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerapi"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
	"github.com/swiftvane/swiftvane/test/harness"
)

// TestCallerNameWithoutUTF8CostsNoOtherQuery guards against a caller whose name a target can't read, so
// that it refuses the queries of all callers in the same exchange.
func TestCallerNameWithoutUTF8CostsNoOtherQuery(t *testing.T) {
	const askers, lasts = 8, 2 * time.Second
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 1})
	host := f.Hosts[0]
	awaitCompleteAnswer(t, f, host)
	http := httpjson.New()
	t.Cleanup(http.Close)
	odd := &callerclient.Client{URLs: []string{host.URL()}, Caller: "odd\xe9\xff", HTTP: http}
	end := time.Now().Add(lasts)
	var all sync.WaitGroup
	for k := range askers {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				_, err := odd.Ask(t.Context(), callerapi.Query{Workload: f.Shape.Workload, Body: harness.Body(n)})
				var refused *verdict.Error
				if !errors.As(err, &refused) || refused.Reason != verdict.BadRequest || refused.Field != callerapi.HeaderCaller {
					t.Errorf("the odd caller got %v", err)
					return
				}
			}
		})
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				body := harness.Body(k*100_000 + n)
				answer, err := host.Ask(t, f.Shape.Workload, body)
				if err == nil {
					err = f.Verify(body, answer)
				}
				if err != nil || len(answer.Coverage.Missing) > 0 {
					t.Errorf("a sound query: %v, %+v", err, answer)
					return
				}
			}
		})
	}
	all.Wait()
	require.False(t, host.Exited())
}
