package responseend

import "net/http"

// Framing is what marks the end of a response.
type Framing string

const (
	// FramingChunks is that of a response whose last chunk marks the end.
	FramingChunks Framing = "chunks"
	// FramingLength is also that of a response that has no body.
	FramingLength Framing = "length"
	// FramingClose is that of a response without a length, which ends with its connection.
	FramingClose Framing = "close"
)

// FramingOf returns the framing of a response.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramingChunks
	case resp.ContentLength >= 0, resp.Request != nil && resp.Request.Method == http.MethodHead:
		return FramingLength
	}
	return FramingClose
}
