package lab

import (
	"os/exec"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

// capDACOverride lets root write where permissions forbid it.
const capDACOverride = 1

// childStarter starts every child of the lab from one thread that lives as long as
// the lab: a child's parent-death signal comes when that thread ends. The
// thread gives up CAP_DAC_OVERRIDE for its children, so that a read-only disk
// binds them under root too, and blocks SIGXFSZ, so that a write to a full
// disk fails as an error instead of ending the process.
var childStarter = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread() // never unlocked: the thread's settings must not reach other work
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

// StartChild starts a child process that ends with the lab, see childStarter.
func StartChild(cmd *exec.Cmd) error {
	done := make(chan error)
	childStarter() <- func() { done <- cmd.Start() }
	return <-done
}
