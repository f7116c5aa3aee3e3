// Package callerclient asks the tier as a caller that handles retries and
// request ids rightly: it sends a request again only where the tier said that
// it did not run and when to ask again, and always under the same id.
package callerclient

import "github.com/swiftvane/swiftvane/internal/callerapi"

// Query is a request as a caller sends it.
type Query = callerapi.Query

// Answer is a successful answer.
type Answer = callerapi.Answer
