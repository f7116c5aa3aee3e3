// Package configcheck checks a candidate document as text. The daemon's
// administration API and the command-line tool both use it, so that their
// verdicts are the same.
package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/swiftvane/swiftvane/internal/domain/config"
)

// pathDocument stands for the document as a whole.
const pathDocument = "document"

// Check returns every problem of a candidate document in JSON; none means that
// hosts accept it.
func Check(content []byte) []config.Problem {
	document, err := Decode(content)
	if err != nil {
		return []config.Problem{{Path: pathDocument, Allowed: "must be one JSON object with revision and keys: " + err.Error()}}
	}
	_, err = config.Parse(document)
	if invalid, ok := errors.AsType[*config.InvalidError](err); ok {
		return invalid.Problems
	}
	if err != nil {
		return []config.Problem{{Path: pathDocument, Allowed: err.Error()}}
	}
	return nil
}

// Decode reads a document. It fails on unknown fields and on data after it, and
// does not look into the keys' values.
func Decode(content []byte) (*config.Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	document := &config.Document{}
	if err := decoder.Decode(document); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the document")
	}
	return document, nil
}
