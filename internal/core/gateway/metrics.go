package gateway

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// answerMetrics writes the process's figures in text form.
func (g *Gateway) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, false)
}
