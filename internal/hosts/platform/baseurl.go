package platform

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/url"
	"strings"
)

// NewHTTPClientFromURL returns a client of the platform at baseURL, which is an
// http or https URL, with a path before the service's own if it has one. It
// fails for any other URL.
func NewHTTPClientFromURL(baseURL string) (*HTTPClient, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("platform: base URL: %w", err)
	}
	if u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return nil, fmt.Errorf("platform: base URL %q: a host is needed; query, fragment and user are not allowed", baseURL)
	}
	client := NewHTTPClient(u.Host)
	client.prefix = strings.TrimRight(u.Path, "/")
	defaultPort := "80"
	switch u.Scheme {
	case "http":
	case "https":
		defaultPort = "443"
		client.dial = new(tls.Dialer).DialContext
	default:
		return nil, fmt.Errorf("platform: base URL %q: the scheme must be http or https", baseURL)
	}
	if u.Port() == "" {
		client.addr = net.JoinHostPort(u.Hostname(), defaultPort)
	}
	return client, nil
}
