package strict

import "net/http"

// Check returns an error for a response whose head is no HTTP. Nothing of such a response can be used.
func Check(r *http.Response) error { return checkStatus(r) }
