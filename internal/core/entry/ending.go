package entry

import (
	"net/http"
	"strconv"

	"graniteknot.org/go/internal/unframed"
)

// ending lets a caller tell a response that breaks off after its head from a whole one.
type ending struct {
	r        *http.Request
	flush    *http.ResponseController
	complete func()
}

func newEnding(w http.ResponseWriter, r *http.Request) ending {
	return ending{r: r, flush: http.NewResponseController(w)}
}

// setLength has the end of a response marked by its length, which is known before its head is written.
func (e *ending) setLength(h http.Header, length int) {
	if e.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
}

// begin is called before the head is written.
func (e *ending) begin() { e.complete = unframed.Guard(e.r) }

// end is called once all of a whole response is written. What a caller of HTTP/1.0 could not be sent must not end
// with a close in order.
func (e *ending) end() {
	if e.r.ProtoAtLeast(1, 1) || e.flush.Flush() == nil {
		e.complete()
	}
}
