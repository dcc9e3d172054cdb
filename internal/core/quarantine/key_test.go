package quarantine_test

import (
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quarantine"
)

// TestKeysAreDistinct checks that keys differ by path, account and body, also where the
// concatenations are equal.
func TestKeysAreDistinct(t *testing.T) {
	type request struct {
		path    string
		account graniteknot.Account
		body    string
	}
	seen := map[quarantine.Key]request{}
	for _, r := range []request{
		{"/a/", "x", "body"},
		{"/b/", "x", "body"},
		{"/a/", "y", "body"},
		{"/a/", "x", "other"},
		{"/a/x", "", "body"},
		{"/a/", "", "xbody"},
		{"", "/a/x", "body"},
		{"/a/", "xbody", ""},
		{"", "", ""},
	} {
		key := quarantine.KeyOf(r.path, r.account, []byte(r.body))
		if other, known := seen[key]; known {
			t.Errorf("%v and %v have the same key", r, other)
		}
		if again := quarantine.KeyOf(r.path, r.account, []byte(r.body)); again != key {
			t.Errorf("%v has two keys", r)
		}
		seen[key] = r
	}
}
