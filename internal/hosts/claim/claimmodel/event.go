package claimmodel

import "fmt"

type eventKind uint8

const (
	sendEvent eventKind = iota
	deliverEvent
	duplicateEvent
	actEvent
	answerEvent
	abandonEvent
	crashEvent
	startEvent
	publishEvent
	readListEvent
	mergeEvent
	pauseEvent
	resumeEvent
	fillEvent
	jumpEvent
)

// event is one transition between states. The kind determines which of host, other
// and message are used; for attempt events, host is the index of the attempt.
type event struct {
	kind        eventKind
	host, other int
	message     message
}

// describe returns the text of the event in a trace.
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
		return fmt.Sprintf("attempt %d runs at a target", e.host+1)
	case answerEvent:
		return fmt.Sprintf("attempt %d reports to its caller that it ran", e.host+1)
	case abandonEvent:
		return fmt.Sprintf("attempt %d is abandoned", e.host+1)
	case crashEvent:
		return host(e.host) + " crashes"
	case startEvent:
		return host(e.host) + " starts"
	case publishEvent:
		return "a new host list is published"
	case readListEvent:
		return host(e.host) + " reads the host list"
	case mergeEvent:
		return host(e.host) + " merges the host lists of " + host(e.other)
	case pauseEvent:
		return host(e.host) + " pauses"
	case resumeEvent:
		return host(e.host) + " resumes"
	case fillEvent:
		return "another id is claimed at " + host(e.host)
	default:
		return "time advances"
	}
}
