// Package version reports the version that the programs were built from.
package version

import "runtime/debug"

// unknown is reported if the build recorded no version.
const unknown = "unknown"

// Info describes the build of a program.
type Info struct {
	// Version is the module's version or the commit, with "+dirty" if the work
	// tree had changes.
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
