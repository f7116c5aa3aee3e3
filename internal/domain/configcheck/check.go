// Package configcheck checks a candidate configuration document in JSON. The
// daemon's administration API and the command-line tool share it, so that both
// report the same problems.
package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/swiftvane/swiftvane/internal/domain/config"
)

// pathDocument is the Problem path for the document as a whole.
const pathDocument = "document"

// Check returns all problems of a candidate document in JSON, or nil if hosts
// accept it.
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

// Decode decodes a document. It rejects unknown fields and trailing data and does
// not check the values of the keys.
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
