package platform

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/httpserve"
)

// Paths of the admin listener.
const (
	PathPublish = "/standin/config"
	PathHosts   = "/standin/hosts"
	PathFaults  = "/standin/faults"
	PathCalls   = "/standin/calls"
)

// PublishRequest is the body of a request that changes the document.
type PublishRequest struct {
	Set    map[string]json.RawMessage `json:"set"`
	Remove []string                   `json:"remove"`
}

// HostsRequest is the body of a request that replaces the host list.
type HostsRequest struct {
	Hosts          []model.Host     `json:"hosts"`
	LeavingTargets []model.TargetID `json:"leaving_targets"`
}

// RevisionResponse holds the revision that a change created.
type RevisionResponse struct {
	Revision model.Revision `json:"revision"`
}

func (p *Platform) handleAdmin(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	switch string(ctx.Path()) {
	case PathPublish:
		p.handlePublish(ctx)
	case PathHosts:
		p.handleHosts(ctx)
	case PathFaults:
		p.handleFaults(ctx)
	case PathCalls:
		httpserve.WriteJSON(ctx, p.Calls())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) handlePublish(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		httpserve.WriteJSON(ctx, p.Document())
		return
	}
	var req PublishRequest
	if !readJSON(ctx, &req) {
		return
	}
	httpserve.WriteJSON(ctx, RevisionResponse{Revision: p.Publish(req.Set, req.Remove...)})
}

func (p *Platform) handleHosts(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		httpserve.WriteJSON(ctx, p.visibleHosts())
		return
	}
	var req HostsRequest
	if !readJSON(ctx, &req) {
		return
	}
	httpserve.WriteJSON(ctx, RevisionResponse{Revision: p.SetHosts(req.Hosts, req.LeavingTargets)})
}

// handleFaults returns the faults in force. A POST replaces them first.
func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var faults Faults
		if !readJSON(ctx, &faults) {
			return
		}
		p.SetFaults(faults)
	}
	httpserve.WriteJSON(ctx, p.Faults())
}

func readJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
