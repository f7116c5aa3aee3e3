package rules

// Answer is a witness's answer to a claim.
type Answer uint8

// The answers of a witness. Only Granted counts towards a majority.
const (
	// Refused is the zero answer: the witness did not vote.
	Refused Answer = iota
	// Granted gives the id to the attempt.
	Granted
	// Held means that another attempt holds the id or that an outcome is recorded.
	Held
	// Reused means that the id is held for a request with another fingerprint.
	Reused
	// ClaimantStale means that the claimant lacks a host list that the witness has.
	ClaimantStale
	// WitnessStale means that the claimant has a newer host list, or that the list
	// lease of the witness has expired.
	WitnessStale
	// Starting means that the witness may have started after the id was issued, so an
	// earlier process of its host may have granted the id.
	Starting
	// Full means that the witness holds the maximum number of ids.
	Full
	// Expired means that the id is older than the retention window.
	Expired
	// Future means that the id was issued in the future by more than the clock
	// margin.
	Future
	// GivenUp means that the claimant has released this attempt, or that the entry
	// has releases of too many processes.
	GivenUp
)

var answerNames = [...]string{
	Refused:       "refused",
	Granted:       "granted",
	Held:          "held",
	Reused:        "reused",
	ClaimantStale: "claimant_stale",
	WitnessStale:  "witness_stale",
	Starting:      "starting",
	Full:          "full",
	Expired:       "expired",
	Future:        "future",
	GivenUp:       "given_up",
}

// String returns the name of the answer in metrics.
func (a Answer) String() string {
	if int(a) >= len(answerNames) {
		return answerNames[Refused]
	}
	return answerNames[a]
}

// Vote is the reply of a witness to a claim.
type Vote struct {
	Answer Answer `cbor:"1,keyasint"`
	// Outcome is the recorded outcome as its claimant encoded it, empty if none.
	Outcome []byte `cbor:"2,keyasint,omitempty"`
	// HistoryComplete reports that the witness has every host list that any host may
	// still use.
	HistoryComplete bool `cbor:"3,keyasint,omitempty"`
}
