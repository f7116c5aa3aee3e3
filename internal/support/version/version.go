// Package version tells what the programs were built from.
package version

import "runtime/debug"

// unknown stands for a version that the build did not record.
const unknown = "unknown"

// Info is what a program was built from.
type Info struct {
	// Version is the module's version or the commit, with "+dirty" if the work
	// tree had changes.
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Read returns what this program was built from.
func Read() Info {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return Info{Version: unknown, Go: unknown}
	}
	info := Info{Version: build.Main.Version, Go: build.GoVersion}
	if info.Version == "" {
		info.Version = unknown
	}
	return info
}

// String returns the version alone.
func String() string { return Read().Version }
