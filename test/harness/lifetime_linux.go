package harness

import "syscall"

// killWithParent returns attributes that make the kernel kill a process when the thread
// that started it ends.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
