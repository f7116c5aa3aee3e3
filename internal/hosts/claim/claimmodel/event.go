package claimmodel

import "fmt"

type eventKind uint8

const (
	sendEvent eventKind = iota
	deliverEvent
	duplicateEvent
	actEvent
	answerEvent
	giveUpEvent
	crashEvent
	startEvent
	publishEvent
	learnEvent
	mergeEvent
	pauseEvent
	resumeEvent
	fillEvent
	jumpEvent
)

// event is one step. host, other and message mean what the kind needs.
type event struct {
	kind        eventKind
	host, other int
	message     message
}

// describe names the event in a trace.
func (e *event) describe(s *Scenario) string {
	host := func(i int) string { return string(s.Hosts[i]) }
	switch e.kind {
	case sendEvent:
		return "caller sends to " + host(e.host)
	case deliverEvent, duplicateEvent:
		text := fmt.Sprintf("%s of attempt %d, witness %s", messageNames[e.message.kind], e.message.attempt+1, host(e.message.host))
		if e.message.kind == voteMessage {
			text += ": " + e.message.vote.Answer.String()
		}
		if e.kind == duplicateEvent {
			text += " (copy)"
		}
		return text
	case actEvent:
		return fmt.Sprintf("attempt %d RUNS", e.host+1)
	case answerEvent:
		return fmt.Sprintf("attempt %d answers ran", e.host+1)
	case giveUpEvent:
		return fmt.Sprintf("attempt %d gives up", e.host+1)
	case crashEvent:
		return host(e.host) + " crashes"
	case startEvent:
		return host(e.host) + " starts"
	case publishEvent:
		return "new host list"
	case learnEvent:
		return host(e.host) + " reads the host list"
	case mergeEvent:
		return host(e.host) + " gets lists of " + host(e.other)
	case pauseEvent:
		return host(e.host) + " pauses"
	case resumeEvent:
		return host(e.host) + " resumes"
	case fillEvent:
		return "another id at " + host(e.host)
	default:
		return "time passes"
	}
}
