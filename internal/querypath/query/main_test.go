package query

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// fasthttp keeps these goroutines for the life of the process, or for some
	// seconds after the stand-in targets' server has stopped.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}
