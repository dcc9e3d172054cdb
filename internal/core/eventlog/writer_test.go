package eventlog_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/eventlog"
)

// TestStuckReaderStopsNothing fills a pipe that nobody reads: writing goes on,
// and what does not fit is counted and told once the reader is back.
func TestStuckReaderStopsNothing(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	w := eventlog.NewWriter(writer)
	log := eventlog.New(w, "box", "gateway")
	const lines = 20_000
	for range lines {
		log.Info("request", slog.String("filler", strings.Repeat("x", 100)))
	}
	if w.Dropped() == 0 {
		t.Fatal("nothing was dropped: the pipe is not full")
	}
	var read bytes.Buffer
	done := make(chan struct{})
	defer func() { <-done }()
	closed := make(chan struct{})
	readAll := func() {
		defer close(done)
		_, _ = read.ReadFrom(reader)
	}
	startReader(readAll)
	startReader(func() {
		defer close(closed)
		w.Close(time.Minute)
		_ = writer.Close()
	})
	<-closed
	<-done
	told := 0
	for _, line := range strings.Split(strings.TrimSpace(read.String()), "\n") {
		var x struct {
			Msg   string
			Lines int
		}
		if err := json.Unmarshal([]byte(line), &x); err != nil {
			t.Fatalf("not a whole line: %q", line)
		}
		told += x.Lines
		if x.Msg == "request" {
			told++
		}
	}
	if told != lines {
		t.Errorf("%d of %d lines are written or told to be dropped", told, lines)
	}
}

func TestZeroLogWritesNothing(*testing.T) {
	var none *eventlog.Log
	none.Info("event")
	(&eventlog.Log{}).Warn("event")
}
