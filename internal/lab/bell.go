package lab

// bell tells waiters that something changed: heard gives a channel that the
// next ring closes. Its owner's lock guards it.
type bell struct{ ch chan struct{} }

func newBell() bell { return bell{make(chan struct{})} }

func (b *bell) ring() {
	close(b.ch)
	b.ch = make(chan struct{})
}

func (b *bell) heard() <-chan struct{} { return b.ch }
