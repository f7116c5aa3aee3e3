//go:build !linux

package harness

import "syscall"

// lifetime has no means to end a process with the test binary here.
func lifetime() *syscall.SysProcAttr { return nil }
