package strict

import (
	"fmt"
	"net/http"
)

// maxStatus is the highest status; RFC 9110, section 15, defines none beyond the class 5xx.
const maxStatus = 599

// checkStatus returns an error for a response whose status is none of HTTP's, or switches protocols: no request of
// this product asks for that, and no other response follows.
func checkStatus(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("response with status %03d", r.StatusCode)
	}
	return nil
}
