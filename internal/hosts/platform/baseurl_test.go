package platform

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBaseURLGivesAddressAndPrefix(t *testing.T) {
	client, err := NewHTTPClientFromURL("http://127.0.0.1:20900")
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:20900", client.addr)
	require.Empty(t, client.prefix)

	client, err = NewHTTPClientFromURL("https://platform.example/config/")
	require.NoError(t, err)
	require.Equal(t, "platform.example:443", client.addr)
	require.Equal(t, "/config", client.prefix)

	for _, bad := range []string{"127.0.0.1:20900", "ftp://platform.example", "http://", "http://u:p@platform.example", "http://platform.example?x=1"} {
		_, err := NewHTTPClientFromURL(bad)
		require.Errorf(t, err, "%q", bad)
	}
}
