package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/swiftvane/swiftvane/internal/requestid"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// Decode reads a query from body. Unknown fields are errors, so that a
// misspelt "idempotent" is never taken for its default.
func Decode(body []byte) (*QueryRequest, *verdict.Error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	req := &QueryRequest{}
	if err := decoder.Decode(req); err != nil {
		return nil, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, verdict.RefuseField(verdict.BadRequest, "body", "the request holds more than one JSON value")
	}
	return req, req.check()
}

func decodeError(err error) *verdict.Error {
	if typeErr, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return verdict.RefuseField(verdict.BadRequest, typeErr.Field, "a JSON %s is not allowed here", typeErr.Value)
	}
	if syntaxErr, ok := errors.AsType[*json.SyntaxError](err); ok {
		return verdict.RefuseField(verdict.BadRequest, "body", "malformed JSON at byte %d: %s", syntaxErr.Offset, syntaxErr)
	}
	return verdict.RefuseField(verdict.BadRequest, "body", "malformed JSON: %s", err)
}

func (r *QueryRequest) check() *verdict.Error {
	switch {
	case r.Workload == "":
		return verdict.RefuseField(verdict.BadRequest, "workload", "the workload is missing")
	case len(r.Body) == 0:
		return verdict.RefuseField(verdict.BadRequest, "body", "the query's body is missing")
	case len(r.RequestID) > requestid.MaxBytes:
		return verdict.RefuseField(verdict.RequestIDInvalid, requestid.FieldID, "%d bytes, at most %d are allowed", len(r.RequestID), requestid.MaxBytes)
	}
	return nil
}
