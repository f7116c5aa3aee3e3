package httpserve

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// WriteJSON answers a request with a value, or with status 500 if it can't be encoded.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
