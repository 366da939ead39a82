package lab

import (
	"os/exec"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

// capDACOverride is CAP_DAC_OVERRIDE, the capability by which root may write despite file permissions.
const capDACOverride = 1

// childStarter returns a channel of functions that start the lab's children. All of them run on one thread that lives as
// long as the lab, since the kernel sends a child its parent-death signal when the thread that started it ends. The
// thread drops CAP_DAC_OVERRIDE from its bounding set, so that a read-only disk also stops writes of children that run
// as root. It blocks SIGXFSZ, so that a write to a full disk returns an error instead of ending the process.
var childStarter = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread() // never unlocked: the thread's settings must not apply to other goroutines
		unix.Prctl(unix.PR_CAPBSET_DROP, capDACOverride, 0, 0, 0)
		var set unix.Sigset_t
		set.Val[(unix.SIGXFSZ-1)/64] |= 1 << ((unix.SIGXFSZ - 1) % 64)
		unix.PthreadSigmask(unix.SIG_BLOCK, &set, nil)
		for call := range calls {
			call()
		}
	}()
	return calls
})

// StartChild starts a child process from the thread of childStarter, whose settings the child inherits.
func StartChild(cmd *exec.Cmd) error {
	done := make(chan error)
	childStarter() <- func() { done <- cmd.Start() }
	return <-done
}
