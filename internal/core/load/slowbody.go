package load

import (
	"io"
	"time"
)

const (
	// slowRead is the most that a slow caller reads at once, in bytes.
	slowRead = 256
	// slowPause is the pause of a slow caller before each read.
	slowPause = 20 * time.Millisecond
	// maxSlowPauses bounds the pauses of one attempt, so that those of all attempts leave an item half of its time.
	maxSlowPauses = int(itemTimeout / (2 * maxAttempts * slowPause))
)

// slowBody is a response body that is read slowly.
type slowBody struct {
	io.ReadCloser
	pauses int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.pauses < maxSlowPauses {
		b.pauses++
		time.Sleep(slowPause)
		p = p[:min(len(p), slowRead)]
	}
	return b.ReadCloser.Read(p)
}
