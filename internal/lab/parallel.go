package lab

import "sync"

// ForEach calls f with 0 to n-1, at most parallel calls at a time, and returns when all calls have returned.
func ForEach(n, parallel int, f func(i int)) {
	slots := make(chan struct{}, parallel)
	var calls sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-slots }()
			f(i)
		}()
	}
	calls.Wait()
}
