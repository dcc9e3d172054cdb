package eventlog_test

import "sync"

// startReader runs a function beside the test; the function tells its end.
func startReader(f func()) {
	var g sync.WaitGroup
	g.Go(f)
}
