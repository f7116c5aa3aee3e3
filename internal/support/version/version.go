// Package version reports the version that the programs were built from.
package version

import "runtime/debug"

// unknown is reported if the program has no build information or its build
// recorded no version.
const unknown = "unknown"

// Info describes the build of a program.
type Info struct {
	// Version is the main module's version as recorded by the Go command: a tag, a
	// pseudo-version with the commit, each with "+dirty" if the work tree had
	// changes, or "(devel)" if the version was not determined.
	Version string `json:"version"`
	// Go is the version of the Go toolchain.
	Go string `json:"go"`
}

// Read returns the build of this program.
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

// String returns the version of this program.
func String() string { return Read().Version }
