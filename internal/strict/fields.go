package strict

import (
	"fmt"
	"net/http"
	"strings"
)

// checkFields returns an error for fields of which one has a blank in its name. net/http refuses all other names
// that are no tokens, but takes such a field for an unknown one, also where it is to frame the body.
func checkFields(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("response with a field named %q", name)
		}
	}
	return nil
}
