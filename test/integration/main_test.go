package integration

import (
	"testing"

	"github.com/swiftvane/swiftvane/test/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }
