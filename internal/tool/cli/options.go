package cli

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/swiftvane/swiftvane/internal/face/adminclient"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

// Environment variables that set the defaults of flags.
const (
	envAdmin     = "SWIFTVANE_ADMIN"
	envCallerURL = "SWIFTVANE_CALLER_URL"
	envTokenFile = "SWIFTVANE_TOKEN_FILE"
	envOutput    = "SWIFTVANE_OUTPUT"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const defaultAdmin = "http://127.0.0.1:8081"

// options holds the streams and the values of the flags that all commands share.
type options struct {
	streams    Streams
	admin      string
	callerURLs []string
	tokenFile  string
	output     string
	quiet      bool
}

func (o *options) register(flags *pflag.FlagSet) {
	flags.StringVar(&o.admin, "admin", fromEnv(envAdmin, defaultAdmin), "base URL of a host's administration API ($"+envAdmin+")")
	flags.StringSliceVar(&o.callerURLs, "caller-url", strings.Split(fromEnv(envCallerURL, "http://127.0.0.1:8080"), ","),
		"base URLs of hosts for queries; the next one is tried if a connection is refused ($"+envCallerURL+")")
	flags.StringVar(&o.tokenFile, "token-file", os.Getenv(envTokenFile), "file with the administration token ($"+envTokenFile+")")
	flags.StringVarP(&o.output, "output", "o", fromEnv(envOutput, outputTable), "form of the output, table or json ($"+envOutput+")")
	flags.BoolVarP(&o.quiet, "quiet", "q", false, "show no progress")
}

func fromEnv(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func (o *options) check() error {
	if !slices.Contains([]string{outputTable, outputJSON}, o.output) {
		return fmt.Errorf("--output = %q: allowed: %s, %s", o.output, outputTable, outputJSON)
	}
	return nil
}

// platformModeHint names what to use in place of the administration API, which
// hosts on the users' platform do not serve.
const platformModeHint = "A host on the\nusers' platform serves no administration API and no /v1/query: there the platform's store\n" +
	"holds the configuration, SIGTERM drains a host, its metrics address has its state, and\nexplain reads its logs."

// adminClient returns a client for the administration API. It returns a usage
// error if no token file is named or the file cannot be read.
func (o *options) adminClient() (*adminclient.Client, error) {
	if o.tokenFile == "" {
		return nil, usagef("--token-file or $%s is required. %s", envTokenFile, platformModeHint)
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, usagef("--token-file: %w", err)
	}
	return &adminclient.Client{BaseURL: o.admin, Token: string(bytes.TrimSpace(token)), HTTP: httpjson.New()}, nil
}

// formatAge formats an age in milliseconds; a negative one means "never".
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
