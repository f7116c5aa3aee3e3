package query

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// fasthttp keeps these for the life of the process or some seconds longer
	// than a server.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}
