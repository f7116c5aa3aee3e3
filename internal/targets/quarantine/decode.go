package quarantine

import (
	"slices"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// decMode decodes messages with texts that are no UTF-8, so that one record with such a text does not
// make the others unreadable.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are valid
	}
	return mode
}

// decode decodes a message or an answer.
func decode(raw []byte, into any) (err error) {
	defer panics.Catch(&err)
	return decMode.Unmarshal(raw, into)
}

// readable returns the records that each host can decode. Hosts of earlier builds take names of callers
// that are no UTF-8, and refuse messages that hold one.
func readable(records []*Record) []*Record {
	return slices.DeleteFunc(records, func(r *Record) bool { return r == nil || !utf8.ValidString(string(r.Caller)) })
}
