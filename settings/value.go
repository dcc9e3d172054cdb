package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
)

const hashHexLength = 64

// parse checks text against the spec and returns its number, if it has one.
// When it is refused, expected says what would have been right.
func (s *Spec) parse(text string) (number int64, expected string) {
	switch s.Type {
	case TypeCount:
		return s.parseCount(text)
	case TypeDuration:
		return s.parseDuration(text)
	case TypeBool:
		return parseBool(text)
	case TypeWord:
		return s.parseWord(text)
	case TypeAddresses:
		return parseAddresses(text)
	case TypeNames:
		return parseNames(text)
	case TypeHash:
		return parseHash(text)
	}
	return 0, "a known type"
}

func (s *Spec) parseCount(text string) (int64, string) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < s.Min || n > s.Max {
		return 0, fmt.Sprintf("a whole number of %s from %d to %d, got %q", s.Unit, s.Min, s.Max, text)
	}
	return n, ""
}

func (s *Spec) parseDuration(text string) (int64, string) {
	d, err := time.ParseDuration(text)
	if err != nil || int64(d) < s.Min || int64(d) > s.Max {
		return 0, fmt.Sprintf("a duration from %s to %s, got %q", time.Duration(s.Min), time.Duration(s.Max), text)
	}
	return int64(d), ""
}

func parseBool(text string) (int64, string) {
	switch text {
	case "yes":
		return 1, ""
	case "no":
		return 0, ""
	}
	return 0, fmt.Sprintf("yes or no, got %q", text)
}

func (s *Spec) parseWord(text string) (int64, string) {
	for i, w := range s.Words {
		if w == text {
			return int64(i), ""
		}
	}
	return 0, fmt.Sprintf("one of %s, got %q", strings.Join(s.Words, ", "), text)
}

func parseAddresses(text string) (int64, string) {
	for _, item := range splitList(text) {
		if _, err := netip.ParseAddrPort(item); err != nil {
			return 0, fmt.Sprintf("IP:PORT, IP:PORT, ..., got %q", item)
		}
	}
	return 0, ""
}

func parseNames(text string) (int64, string) {
	for _, item := range splitList(text) {
		if item != "*" && !validName(item) {
			return 0, fmt.Sprintf("names separated by commas, or *, got %q", item)
		}
	}
	return 0, ""
}

func parseHash(text string) (int64, string) {
	if _, err := hex.DecodeString(text); err != nil || len(text) != hashHexLength {
		return 0, "64 hexadecimal digits"
	}
	return 0, ""
}

func splitList(text string) []string {
	var out []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func addressList(text string) []graniteknot.Address {
	items := splitList(text)
	out := make([]graniteknot.Address, len(items))
	for i, item := range items {
		out[i] = graniteknot.Address(item)
	}
	return out
}
