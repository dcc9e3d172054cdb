package serve

import (
	"net/http"

	"graniteknot.org/go/internal/wire"
)

func headerFields(h http.Header) []*wire.Field {
	var out []*wire.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Field{Name: name, Value: v})
		}
	}
	return out
}

func headerOf(fields []*wire.Field) http.Header {
	out := http.Header{}
	for _, f := range fields {
		out.Add(f.GetName(), f.GetValue())
	}
	return out
}
