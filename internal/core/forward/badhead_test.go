package forward_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/platform/platformtest"
)

// allKinds are the kinds of routes.
var allKinds = map[string]catalog.RouteKind{"once": catalog.KindOnce, "repeatable": catalog.KindRepeatable, "stream": catalog.KindStream}

// refusesResponse checks that a response is not forwarded and holds no caller up, and that another replica responds in its place where the route allows that.
func refusesResponse(t *testing.T, response string) {
	t.Helper()
	const soon = time.Second
	for name, kind := range allKinds {
		for _, spare := range []bool{false, true} {
			scripts := []platformtest.Script{platformtest.Raw(response)}
			if spare {
				scripts = append(scripts, platformtest.AnswerWith("sound", "Content-Type: text/plain"))
			}
			r := newFixture(t, kind, scripts...)
			began := time.Now()
			result := r.do(context.Background())
			if took := time.Since(began); took > soon {
				t.Errorf("%s, spare %v: held for %v", name, spare, took)
			}
			served := spare && kind != catalog.KindOnce
			if got := r.sink.body.String(); (result.Outcome == graniteknot.OutcomeAnswered) != served || served && got != "sound" {
				t.Errorf("%s, spare %v: %v with status %d and %q", name, spare, result.Outcome, r.sink.status, got)
			}
			if result.Outcome == graniteknot.OutcomeNotRun {
				t.Errorf("%s, spare %v: said not to have run", name, spare)
			}
		}
	}
}

// TestStatusOutsideHTTPIsRefused guards against statuses that are none and that reach callers, or hold them up as those of interim responses.
func TestStatusOutsideHTTPIsRefused(t *testing.T) {
	for _, status := range []string{"000", "001", "012", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			refusesResponse(t, "HTTP/1.1 "+status+" X\r\n"+platformtest.OwnHeaders+"Content-Length: 4\r\n\r\nhalf")
		})
		t.Run(status+" without a body", func(t *testing.T) {
			t.Parallel()
			refusesResponse(t, "HTTP/1.1 "+status+" X\r\n"+platformtest.OwnHeaders+"\r\n")
		})
	}
	t.Run("before a sound response", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n"+platformtest.OwnHeaders+"Content-Length: 4\r\n\r\nhalf")
	})
	t.Run("of a stale response", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 999 X\r\n"+platformtest.StaleHeaders+"Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"+platformtest.OwnHeaders+"Content-Length: 4\r\n\r\nhalf")
	})
}

// badFields are header lines that are none, and what follows the head.
var badFields = map[string]struct{ lines, body string }{
	"blank in a name":                {"X A: b\r\nContent-Length: 4\r\n", "half"},
	"blank before a colon":           {"X-A : b\r\nContent-Length: 4\r\n", "half"},
	"length":                         {"Content-Length : 4\r\n", "half of what the length says"},
	"length beside a length":         {"Content-Length : 8\r\nContent-Length: 4\r\n", "half"},
	"chunks":                         {"Transfer-Encoding : chunked\r\nContent-Length: 4\r\n", "4\r\nhalf\r\n0\r\n\r\n"},
	"chunks without a length":        {"Transfer-Encoding : chunked\r\n", "4\r\nhalf\r\n0\r\n\r\n"},
	"tab in a name":                  {"X\tA: b\r\nContent-Length: 4\r\n", "half"},
	"tab before a colon":             {"X-A\t: b\r\nContent-Length: 4\r\n", "half"},
	"control byte in a name":         {"X\x01A: b\r\nContent-Length: 4\r\n", "half"},
	"zero byte in a name":            {"X\x00A: b\r\nContent-Length: 4\r\n", "half"},
	"carriage return in a name":      {"X\rA: b\r\nContent-Length: 4\r\n", "half"},
	"delete in a name":               {"X\x7fA: b\r\nContent-Length: 4\r\n", "half"},
	"byte beyond ASCII in a name":    {"X\xc3\xa4: b\r\nContent-Length: 4\r\n", "half"},
	"separator in a name":            {"X(A): b\r\nContent-Length: 4\r\n", "half"},
	"no name":                        {": b\r\nContent-Length: 4\r\n", "half"},
	"no colon":                       {"X-A\r\nContent-Length: 4\r\n", "half"},
	"control byte in a value":        {"X-A: \x01\r\nContent-Length: 4\r\n", "half"},
	"zero byte in a value":           {"X-A: a\x00b\r\nContent-Length: 4\r\n", "half"},
	"carriage return in a value":     {"X-A: a\rb\r\nContent-Length: 4\r\n", "half"},
	"two lengths":                    {"Content-Length: 4\r\nContent-Length: 2\r\n", "half"},
	"length with a sign":             {"Content-Length: +4\r\n", "half"},
	"negative length":                {"Content-Length: -4\r\n", "half"},
	"length in a list":               {"Content-Length: 4, 2\r\n", "half"},
	"unknown transfer encoding":      {"Transfer-Encoding: gzip, chunked\r\n", "4\r\nhalf\r\n0\r\n\r\n"},
	"transfer encoding twice":        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "4\r\nhalf\r\n0\r\n\r\n"},
	"blank in a trailer's name":      {"Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n0\r\nX A: b\r\n\r\n"},
	"blank before a trailer's colon": {"Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n0\r\nX-A : b\r\n\r\n"},
	"control byte in a trailer":      {"Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n0\r\nX\x01A: b\r\n\r\n"},
}

// TestHeadWithBadFieldsIsRefused guards against names of fields that are none: callers get such a line, or a body that is framed by something else.
func TestHeadWithBadFieldsIsRefused(t *testing.T) {
	for name, c := range badFields {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refusesResponse(t, "HTTP/1.1 200 OK\r\n"+platformtest.OwnHeaders+"Content-Type: text/plain\r\n"+c.lines+"\r\n"+c.body)
		})
	}
	sound := "HTTP/1.1 200 OK\r\n" + platformtest.OwnHeaders + "Content-Length: 4\r\n\r\nhalf"
	t.Run("interim response", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 103 Early Hints\r\nContent-Length : 4\r\n\r\n"+sound)
	})
	t.Run("stale response", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 200 OK\r\n"+platformtest.StaleHeaders+"X A: b\r\nContent-Length: 0\r\n\r\n"+sound)
	})
	t.Run("trailer of a stale response", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 200 OK\r\n"+platformtest.StaleHeaders+"Transfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n"+sound)
	})
	t.Run("first line with a blank", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 200 OK\r\n X-A: b\r\n"+platformtest.OwnHeaders+"Content-Length: 4\r\n\r\nhalf")
	})
}

// TestHTTP10ResponseInChunksIsRefused guards against a body that holds the sizes of its chunks.
func TestHTTP10ResponseInChunksIsRefused(t *testing.T) {
	const chunks = "4\r\nhalf\r\n0\r\n\r\n"
	for name, lines := range map[string]string{
		"no length":  "transfer-encoding: chunked\r\n",
		"length":     "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n",
		"long head":  "X-A: " + strings.Repeat("a", 16<<10) + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n",
		"other case": "TRANSFER-ENCODING:chunked\r\nContent-Length: 14\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refusesResponse(t, "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n"+platformtest.OwnHeaders+lines+"\r\n"+chunks)
		})
	}
}

// TestStreamWithBadFieldsIsNotComplete guards against the same at the head and behind the last event of a stream.
func TestStreamWithBadFieldsIsNotComplete(t *testing.T) {
	event := platformtest.Event(1, "token")
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(event), event)
	for name, c := range map[string]struct{ line, end string }{
		"head":         {"X A: b\r\n", "\r\n"},
		"framing":      {"Content-Length : 4\r\n", "\r\n"},
		"trailer":      {"", "X A: b\r\n\r\n"},
		"control byte": {"", "X\x01A: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, catalog.KindStream, platformtest.Raw("HTTP/1.1 200 OK\r\n"+platformtest.OwnHeaders+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"+c.line+"\r\n"+chunk+c.end))
			began := time.Now()
			if result := r.do(context.Background()); result.Outcome == graniteknot.OutcomeAnswered || result.ResponseStarted != (c.line == "") {
				t.Errorf("%+v with %q", result, r.sink.body.String())
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("held for %v", took)
			}
		})
	}
}

// TestSoundHeadsAreAccepted guards against sound responses that are taken for broken ones.
func TestSoundHeadsAreAccepted(t *testing.T) {
	sound := "HTTP/1.1 200 OK\r\n" + platformtest.OwnHeaders + "Content-Length: 5\r\n\r\nsound"
	for name, c := range map[string]struct {
		response string
		status   int
		// body is "sound" if it is empty.
		body string
	}{
		"plain":            {response: sound, status: http.StatusOK},
		"interim":          {response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sound, status: http.StatusOK},
		"stale":            {response: "HTTP/1.1 200 OK\r\n" + platformtest.StaleHeaders + "Content-Length: 5\r\n\r\nstale" + sound, status: http.StatusOK},
		"unknown status":   {response: strings.Replace(sound, "200 OK", "299 X", 1), status: 299},
		"highest status":   {response: strings.Replace(sound, "200 OK", "599 X", 1), status: 599},
		"any token":        {response: strings.Replace(sound, "Content", "!#$%&'*+-.^_`|~9aZ: x\r\nContent", 1), status: http.StatusOK},
		"HTTP/1.0, body":   {response: "HTTP/1.0 200 OK\r\n" + platformtest.OwnHeaders + "Content-Length: 27\r\n\r\n\ntransfer-encoding: chunked", status: http.StatusOK, body: "\ntransfer-encoding: chunked"},
		"HTTP/1.0":         {response: strings.Replace(sound, "HTTP/1.1", "HTTP/1.0", 1), status: http.StatusOK},
		"chunks, trailers": {response: "HTTP/1.1 200 OK\r\n" + platformtest.OwnHeaders + "Transfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\nX-A: b c\r\n\r\n", status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, catalog.KindOnce, platformtest.Raw(c.response))
			if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || r.sink.status != c.status || r.sink.body.String() != cmp.Or(c.body, "sound") {
				t.Errorf("%+v with status %d and %q", result, r.sink.status, r.sink.body.String())
			}
		})
	}
}
