//go:build !linux

package harness

import "syscall"

// killWithParent returns nil: this platform cannot kill a process when the test binary dies.
func killWithParent() *syscall.SysProcAttr { return nil }
