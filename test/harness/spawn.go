package harness

import (
	"os/exec"
	"runtime"
	"sync"
)

// spawner starts all processes on one thread that lives as long as the test
// binary: the system ends a process with the thread that started it (see
// lifetime), not with the whole test binary.
var spawner struct {
	once sync.Once
	jobs chan func()
}

// spawn starts the command on the spawner's thread.
func spawn(cmd *exec.Cmd) error {
	spawner.once.Do(func() {
		spawner.jobs = make(chan func())
		go func() {
			runtime.LockOSThread()
			for job := range spawner.jobs {
				job()
			}
		}()
	})
	started := make(chan error)
	spawner.jobs <- func() { started <- cmd.Start() }
	return <-started
}
