package lab

// notifier notifies waiters of changes: changed returns a channel that the next
// notifyAll closes. Its owner's mutex must guard both.
type notifier struct{ ch chan struct{} }

func newNotifier() notifier { return notifier{make(chan struct{})} }

func (n *notifier) notifyAll() {
	close(n.ch)
	n.ch = make(chan struct{})
}

func (n *notifier) changed() <-chan struct{} { return n.ch }
