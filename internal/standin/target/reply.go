package target

import (
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	wire "github.com/swiftvane/swiftvane/internal/targets/target"
)

// reply sends v whole.
func (t *Target) reply(ctx *fasthttp.RequestCtx, v any) {
	body, err := wire.Encode(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(wire.ContentType)
	ctx.Response.SetBodyRaw(body)
}

// sendAnswers sends the answers, damaged if that fault is on.
func (t *Target) sendAnswers(ctx *fasthttp.RequestCtx, answers []wire.AnswerItem) {
	state := t.faults.Load()
	if state.Reply == "" || !t.dice.hit(state.ReplyShare) {
		t.reply(ctx, answers)
		if state.Reply == ReplyCrossed {
			t.keepReply(slices.Clone(ctx.Response.Body()))
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
	case ReplyCut:
		cutResponse(ctx, body[:len(body)/2], len(body))
	case ReplyCrossed:
		if earlier := t.keepReply(body); earlier != nil {
			ctx.Response.SetBodyRaw(earlier)
		}
	}
}

// keepReply stores a reply and returns the one stored before.
func (t *Target) keepReply(body []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier := t.lastReply
	t.lastReply = body
	return earlier
}

// cutResponse announces size bytes, sends part and closes the connection.
func cutResponse(ctx *fasthttp.RequestCtx, part []byte, size int) {
	conn := ctx.Conn()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, part)
	_ = conn.Close()
}
