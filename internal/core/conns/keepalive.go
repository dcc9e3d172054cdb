package conns

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
