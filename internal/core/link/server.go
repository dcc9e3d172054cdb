package link

import (
	"context"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"graniteknot.org/go/internal/wire"
)

// Dispatcher takes attempts; package serve has the real one.
type Dispatcher interface {
	Dispatch(ctx context.Context, d *wire.Dispatch, send func(*wire.Chunk) error) error
}

// DispatchHandler serves DispatchPath.
func DispatchHandler(to Dispatcher) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessage))
		if err != nil {
			http.Error(w, "body too large or cut off", http.StatusBadRequest)
			return
		}
		d := &wire.Dispatch{}
		if err := proto.Unmarshal(body, d); err != nil {
			http.Error(w, "malformed dispatch", http.StatusBadRequest)
			return
		}
		flusher := http.NewResponseController(w)
		send := func(c *wire.Chunk) error {
			if _, err := protodelim.MarshalTo(w, c); err != nil {
				return err
			}
			return flusher.Flush()
		}
		// An error means that the entry is gone; there is nobody to tell.
		_ = to.Dispatch(r.Context(), d, send)
	})
}
