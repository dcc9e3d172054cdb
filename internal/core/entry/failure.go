package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
)

// failure is an error as callers see it.
type failure struct {
	status  int
	code    string
	message string
	outcome graniteknot.Outcome
	// retryAfter is written when it is not zero.
	retryAfter time.Duration
}

// failureBody is the JSON form of a failure.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

func (f *failure) body() failureBody {
	return failureBody{Error: failureDetail{Code: f.code, Message: f.message, Outcome: f.outcome.String()}}
}

func (f *failure) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, f.outcome.String())
	if f.retryAfter > 0 {
		seconds := math.Ceil(f.retryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(f.status)
	// A caller that is gone can't be told.
	_ = json.NewEncoder(w).Encode(f.body())
}

func notRun(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, outcome: graniteknot.OutcomeNotRun}
}

// resultFailure is how a request without a whole answer is told.
func resultFailure(r relay.Result) *failure {
	const comeBack = time.Second
	f := &failure{code: string(r.Code), message: r.Reason, outcome: r.Outcome}
	switch r.Outcome {
	case graniteknot.OutcomeAnswered:
		f.status = http.StatusConflict
	case graniteknot.OutcomeNotRun:
		f.status = http.StatusServiceUnavailable
		f.retryAfter = comeBack
	case graniteknot.OutcomeUnknown:
		f.status = http.StatusGatewayTimeout
	}
	return f
}
