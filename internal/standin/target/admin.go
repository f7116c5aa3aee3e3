package target

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/standin/httpserve"
)

// Paths of the admin listener.
const (
	PathRuns    = "/standin/runs"
	PathFaults  = "/standin/faults"
	PathSilence = "/standin/silence"
	PathCrash   = "/standin/crash"
)

// serveAdmin starts serving the admin listener.
func (t *Target) serveAdmin() {
	t.group.Go(func() { httpserve.Serve(t.admin, t.handleAdmin) })
}

func (t *Target) handleAdmin(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	switch string(ctx.Path()) {
	case PathRuns:
		httpserve.WriteJSON(ctx, t.Runs(string(ctx.QueryArgs().Peek("request_id"))))
	case PathFaults:
		t.handleFaults(ctx)
	case PathSilence:
		t.SilenceConnections()
	case PathCrash:
		t.Crash()
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleFaults returns the faults in force. A POST first merges the keys of its
// body into them.
func (t *Target) handleFaults(ctx *fasthttp.RequestCtx) {
	faults := t.Faults()
	faults.Snapshots = slices.Clone(faults.Snapshots)
	if ctx.IsPost() {
		if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if err := t.SetFaults(faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	httpserve.WriteJSON(ctx, faults)
}
