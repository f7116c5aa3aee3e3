package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	c := NewConfig(1, []*Route{
		{Name: "short", Host: "A.example", Prefix: "/a/"},
		{Name: "long", Host: "a.example", Prefix: "/a/b/"},
		{Name: "other", Host: "b.example", Prefix: "/a/b/c/"},
	}, nil, Limits{})
	for path, want := range map[string]string{
		"/a/x": "short", "/a/b/x": "long", "/a/b/c/x": "long", "/a/b": "short", "/a/?q=/a/b/": "short",
	} {
		require.Equal(t, want, c.Match("a.example", path).Name, path)
	}
	require.Equal(t, "short", c.Match("a.Example:80", "/a/x").Name)
	require.Nil(t, c.Match("a.example", "/b/"))
	require.Nil(t, c.Match("a.example", "/a"))
	require.Nil(t, c.Match("c.example", "/a/"))
}

func TestLeastShardsRoundsUp(t *testing.T) {
	for share, want := range map[float64]int{0.89: 18, 0.75: 15, 0: 1, 1: 20, 0.9: 18} {
		r := &Route{Shards: make([]ServiceName, 20), LeastCoverage: share}
		require.Equal(t, want, r.LeastShards(), share)
	}
}
