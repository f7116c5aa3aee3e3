package platform

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/url"
	"strings"
)

// NewHTTPClientFromURL returns a client of the platform at baseURL, an http or
// https URL whose path, if any, is put before the paths of the service. It fails
// for other schemes, a missing host, and URLs with a query, fragment or user.
func NewHTTPClientFromURL(baseURL string) (*HTTPClient, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("platform: base URL: %w", err)
	}
	if u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return nil, fmt.Errorf("platform: base URL %q: it must have a host; query, fragment and user are not allowed", baseURL)
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
