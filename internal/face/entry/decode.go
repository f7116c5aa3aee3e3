package entry

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// wholeRequest is the Field of errors that concern no single field.
const wholeRequest = "request"

// unknownField is the prefix of the JSON library's message for an unknown field.
const unknownField = "json: unknown field "

// Decode decodes and checks a query. It rejects unknown fields, so that a
// misspelt "idempotent" does not silently become the default.
func Decode(body []byte) (*callerapi.Query, *verdict.Error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	req := &callerapi.Query{}
	if err := decoder.Decode(req); err != nil {
		return nil, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, verdict.RefuseField(verdict.BadRequest, wholeRequest, "the request holds more than one JSON value")
	}
	return req, validateQuery(req)
}

func decodeError(err error) *verdict.Error {
	if typeErr, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return verdict.RefuseField(verdict.BadRequest, cmp.Or(typeErr.Field, wholeRequest), "a JSON %s is not allowed here", typeErr.Value)
	}
	if syntaxErr, ok := errors.AsType[*json.SyntaxError](err); ok {
		return verdict.RefuseField(verdict.BadRequest, wholeRequest, "malformed JSON at byte %d: %s", syntaxErr.Offset, syntaxErr)
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		return verdict.RefuseField(verdict.BadRequest, cmp.Or(strings.Trim(name, `"`), wholeRequest), "no such field")
	}
	return verdict.RefuseField(verdict.BadRequest, wholeRequest, "malformed JSON: %s", err)
}

func validateQuery(r *callerapi.Query) *verdict.Error {
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
