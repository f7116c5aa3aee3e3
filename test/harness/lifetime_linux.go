package harness

import "syscall"

// lifetime ends a process if the test binary dies before it.
func lifetime() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
