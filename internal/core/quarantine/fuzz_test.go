package quarantine_test

import (
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quarantine"
)

// FuzzDecode reads any bytes as entries that another gateway tells, and as a record of the store.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x80})
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		now := time.Now()
		var table quarantine.Table
		if entries, err := quarantine.Decode(body); err == nil {
			for i := range entries {
				table.Merge(&entries[i], now)
			}
			if _, err := quarantine.Encode(table.Entries(now)); err != nil {
				t.Error(err)
			}
		}
		if e, err := quarantine.DecodeRecord(graniteknot.KeyedRecord{Key: "k", Value: body}); err == nil {
			table.Merge(&e, now)
		}
	})
}
