package forward_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/platform/platformtest"
)

const (
	// ownHeaders mark a response as the replica's own, to the request that it got.
	ownHeaders = "X-Graniteknot-Attempt-Id: %s\r\n" + platformtest.Seal + "\r\n"
	// staleHeaders are those of a response to another request.
	staleHeaders = "X-Graniteknot-Attempt-Id: 0000000000000000\r\n" + platformtest.Seal + "\r\n"
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
			refusesResponse(t, "HTTP/1.1 "+status+" X\r\n"+ownHeaders+"Content-Length: 4\r\n\r\nhalf")
		})
		t.Run(status+" without a body", func(t *testing.T) {
			t.Parallel()
			refusesResponse(t, "HTTP/1.1 "+status+" X\r\n"+ownHeaders+"\r\n")
		})
	}
	t.Run("before a sound response", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n"+ownHeaders+"Content-Length: 4\r\n\r\nhalf")
	})
	t.Run("of a stale response", func(t *testing.T) {
		t.Parallel()
		refusesResponse(t, "HTTP/1.1 999 X\r\n"+staleHeaders+"Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"+ownHeaders+"Content-Length: 4\r\n\r\nhalf")
	})
}

// TestSoundHeadsAreAccepted guards against sound responses that are taken for broken ones.
func TestSoundHeadsAreAccepted(t *testing.T) {
	sound := "HTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Length: 5\r\n\r\nsound"
	for name, c := range map[string]struct {
		response string
		status   int
	}{
		"plain":            {sound, http.StatusOK},
		"interim":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sound, http.StatusOK},
		"stale":            {"HTTP/1.1 200 OK\r\n" + staleHeaders + "Content-Length: 5\r\n\r\nstale" + sound, http.StatusOK},
		"unknown status":   {strings.Replace(sound, "200 OK", "299 X", 1), 299},
		"highest status":   {strings.Replace(sound, "200 OK", "599 X", 1), 599},
		"any token":        {strings.Replace(sound, "Content", "!#$%&'*+-.^_`|~9aZ: x\r\nContent", 1), http.StatusOK},
		"HTTP/1.0":         {strings.Replace(sound, "HTTP/1.1", "HTTP/1.0", 1), http.StatusOK},
		"chunks, trailers": {"HTTP/1.1 200 OK\r\n" + ownHeaders + "Transfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\nX-A: b c\r\n\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, catalog.KindOnce, platformtest.Raw(c.response))
			if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || r.sink.status != c.status || r.sink.body.String() != "sound" {
				t.Errorf("%+v with status %d and %q", result, r.sink.status, r.sink.body.String())
			}
		})
	}
}
