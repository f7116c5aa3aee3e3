package target

import (
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	wire "github.com/swiftvane/swiftvane/internal/targets/target"
)

// reply encodes v and sets it as the response body.
func (t *Target) reply(ctx *fasthttp.RequestCtx, v any) {
	body, err := wire.Encode(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(wire.ContentType)
	ctx.Response.SetBodyRaw(body)
}

// sendAnswers sends the answers. The Reply fault damages its share of them.
func (t *Target) sendAnswers(ctx *fasthttp.RequestCtx, answers []wire.AnswerItem) {
	state := t.faults.Load()
	if state.Reply == "" || !t.random.chance(state.ReplyShare) {
		t.reply(ctx, answers)
		if state.Reply == ReplyCrossed {
			t.swapLastReply(slices.Clone(ctx.Response.Body()))
		}
		return
	}
	switch state.Reply {
	case ReplySwapped:
		slices.Reverse(answers)
	case ReplyRepeated:
		answers = append(answers, answers[0])
	case ReplyShort:
		answers = answers[:len(answers)-1]
	case ReplyDelayed:
		time.Sleep(time.Duration(state.ReplyDelayMS) * time.Millisecond)
	}
	t.reply(ctx, answers)
	body := slices.Clone(ctx.Response.Body())
	switch state.Reply {
	case ReplyTruncated:
		ctx.Response.SetBodyRaw(body[:len(body)/2])
	case ReplyRaw:
		rawResponse(ctx, &state.Faults, body)
	case ReplyCut:
		cutResponse(ctx, body[:len(body)/2], len(body))
	case ReplyCrossed:
		if earlier := t.swapLastReply(body); earlier != nil {
			ctx.Response.SetBodyRaw(earlier)
		}
	}
}

// swapLastReply stores a reply and returns the one stored before.
func (t *Target) swapLastReply(body []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier := t.lastReply
	t.lastReply = body
	return earlier
}

// rawResponse sends a response that begins as the faults say and closes the connection.
func rawResponse(ctx *fasthttp.RequestCtx, faults *Faults, body []byte) {
	conn := ctx.Conn()
	_, _ = fmt.Fprintf(conn, "%s\r\n%sContent-Length: %d\r\n\r\n%s", faults.StatusLine, faults.FieldLines, len(body), body)
	_ = conn.Close()
}

// cutResponse announces a body of size bytes, sends only part and closes the
// connection.
func cutResponse(ctx *fasthttp.RequestCtx, part []byte, size int) {
	conn := ctx.Conn()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, part)
	_ = conn.Close()
}
