package harness

import (
	"os/exec"
	"runtime"
	"sync"
)

// spawner starts all processes on one thread that lives as long as the test binary:
// the parent-death signal (see killWithParent) is sent when the starting thread ends,
// not when the whole test binary does.
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
