package rules

// Answer is a witness's answer to a claim.
type Answer uint8

// The answers of a witness. Only Granted counts towards a majority.
const (
	// Refused is the zero answer: the witness could not be asked.
	Refused Answer = iota
	// Granted gives the id to the attempt.
	Granted
	// Held says that another attempt holds the id, or that its outcome is known.
	Held
	// Reused says that the id is held for a request with another fingerprint.
	Reused
	// ClaimantStale says that the claimant does not know a host list that the
	// witness knows.
	ClaimantStale
	// WitnessStale says that the claimant knows a newer host list, or that the
	// witness has had its own list confirmed too long ago.
	WitnessStale
	// Starting says that the witness started after the id was issued and may have
	// forgotten a grant.
	Starting
	// Full says that the witness has no room for another id.
	Full
	// Expired says that the id is older than the retention window.
	Expired
	// Future says that the id was issued in the future.
	Future
	// GivenUp says that the claimant gave this attempt up before.
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

// String returns the answer's name in metrics.
func (a Answer) String() string {
	if int(a) >= len(answerNames) {
		return answerNames[Refused]
	}
	return answerNames[a]
}

// Vote is a witness's answer with what it knows.
type Vote struct {
	Answer Answer `cbor:"1,keyasint"`
	// Outcome is the recorded outcome as its claimant encoded it, empty if none.
	Outcome []byte `cbor:"2,keyasint,omitempty"`
	// HistoryComplete says that the witness knows each host list that any host
	// may still act by.
	HistoryComplete bool `cbor:"3,keyasint,omitempty"`
}
