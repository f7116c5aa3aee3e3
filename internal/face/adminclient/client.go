// Package adminclient is a client for a host's administration API.
package adminclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

// waitMargin is added to a wait's limit to allow for the round trip.
const waitMargin = 5 * time.Second

// Client sends requests to one host. Errors are *adminapi.Error if the host refused
// the request.
type Client struct {
	BaseURL string
	Token   string
	HTTP    *httpjson.Client
}

// Ready returns whether the host accepts queries and, if not, the reason.
func (c *Client) Ready() (*adminapi.Health, error) {
	health := &adminapi.Health{}
	resp, err := c.HTTP.Do(&httpjson.Request{Method: http.MethodGet, URL: c.url(adminapi.PathReady)})
	if err != nil {
		return nil, err
	}
	return health, decode(resp.Body, health)
}

// Status returns the state of the fleet as seen by the host.
func (c *Client) Status() (*adminapi.Status, error) {
	status := &adminapi.Status{}
	return status, c.do(http.MethodGet, adminapi.PathStatus, nil, 0, status)
}

// Config returns the configuration in force on the host.
func (c *Client) Config() (*adminapi.Config, error) {
	config := &adminapi.Config{}
	return config, c.do(http.MethodGet, adminapi.PathConfig, nil, 0, config)
}

// CheckConfig has the host check a candidate document, which is sent unchanged.
func (c *Client) CheckConfig(document []byte) (*adminapi.ConfigCheck, error) {
	check := &adminapi.ConfigCheck{}
	return check, c.do(http.MethodPost, adminapi.PathConfigCheck, document, 0, check)
}

// WaitConfig waits until revision is in force on each live host, for at most limit.
func (c *Client) WaitConfig(revision model.Revision, limit time.Duration) (*adminapi.ConfigWait, error) {
	path := adminapi.PathConfigWait + "?revision=" + strconv.FormatUint(uint64(revision), 10) +
		"&timeout_ms=" + strconv.FormatInt(limit.Milliseconds(), 10)
	wait := &adminapi.ConfigWait{}
	return wait, c.do(http.MethodGet, path, nil, limit+waitMargin, wait)
}

// Targets returns the targets as seen by the host.
func (c *Client) Targets() (*adminapi.Targets, error) {
	targets := &adminapi.Targets{}
	return targets, c.do(http.MethodGet, adminapi.PathTargets, nil, 0, targets)
}

// Quarantine returns the requests that are quarantined on the host.
func (c *Client) Quarantine() (*adminapi.Quarantine, error) {
	quarantine := &adminapi.Quarantine{}
	return quarantine, c.do(http.MethodGet, adminapi.PathQuarantine, nil, 0, quarantine)
}

// Release ends the quarantine of a request. It needs the write token.
func (c *Client) Release(fingerprint string) (*adminapi.Released, error) {
	released := &adminapi.Released{}
	return released, c.do(http.MethodDelete, adminapi.PathQuarantine+"/"+fingerprint, nil, 0, released)
}

// Drain starts the host's planned stop. It needs the write token.
func (c *Client) Drain() (*adminapi.Drain, error) {
	drain := &adminapi.Drain{}
	return drain, c.do(http.MethodPost, adminapi.PathDrain, nil, 0, drain)
}

func (c *Client) url(path string) string { return strings.TrimSuffix(c.BaseURL, "/") + path }

func (c *Client) do(method, path string, body any, timeout time.Duration, reply any) error {
	resp, err := c.HTTP.Do(&httpjson.Request{
		Method: method, URL: c.url(path), Body: body, Timeout: timeout,
		Header: map[string]string{"Authorization": "Bearer " + c.Token},
	})
	if err != nil {
		return err
	}
	if resp.Status < http.StatusBadRequest {
		return decode(resp.Body, reply)
	}
	refused := &adminapi.Error{}
	if err := json.Unmarshal(resp.Body, refused); err != nil || refused.Reason == "" {
		return fmt.Errorf("%s %s: status %d", method, c.url(path), resp.Status)
	}
	return refused
}

func decode(body []byte, reply any) error {
	if err := json.Unmarshal(body, reply); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	return nil
}
