package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/services"
	"graniteknot.org/go/internal/standin/logstore"
)

// BenchmarkWays compares a claim at the authority that a ticket names with one
// through the log in batches, which is decided when the batch is read back: the
// latency of each, and the bytes that every reader of the log's claims takes
// for one. The log is the stand-in on loopback, so a real one only adds to it.
func BenchmarkWays(b *testing.B) {
	b.Run("ticket", func(b *testing.B) {
		table := newTable()
		now := after(time.Second)
		for i := 0; b.Loop(); i++ {
			table.Admit(now, claim.Request{ID: id(fmt.Sprint(i)), Incarnation: table.Incarnation, KeyTime: now})
		}
	})
	for _, batch := range []time.Duration{0, 20 * time.Millisecond} {
		b.Run(fmt.Sprintf("log-batch-%s", batch), func(b *testing.B) { claimThroughLog(b, batch) })
	}
}

func claimThroughLog(b *testing.B, batch time.Duration) {
	const perSecond = 1000
	server := httptest.NewServer((&logstore.Store{}).Handler())
	defer server.Close()
	log := services.NewLog(graniteknot.Address(strings.TrimPrefix(server.URL, "http://")))
	ctx := context.Background()
	var times []time.Duration
	claims, read := 0, 0
	for b.Loop() {
		begun := time.Now()
		time.Sleep(batch)
		n := max(1, int(batch.Seconds()*perSecond))
		var record bytes.Buffer
		for i := range n {
			key := id(fmt.Sprint(claims + i))
			record.Write(key[:])
			record.WriteString("10.0.0.1:8000")
		}
		offset, err := log.Append(ctx, "claims", record.Bytes())
		if err != nil {
			b.Fatal(err)
		}
		page, err := log.Read(ctx, "claims", offset, 1)
		if err != nil || len(page.Records) != 1 {
			b.Fatal(err)
		}
		claims += n
		read += len(page.Records[0].Data)
		times = append(times, time.Since(begun))
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds()*1000, "p50-ms/claim")
	b.ReportMetric(float64(read)/float64(claims), "B/claim/reader")
}
