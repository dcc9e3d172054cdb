package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token is the token at a position of the answer to a prompt. It depends on
// nothing else, so that any mix-up of answers shows.
func Token(prompt []byte, at int) string {
	const base = 36
	h := xxhash.Sum64(prompt) ^ xxhash.Sum64String(strconv.Itoa(at))
	return strconv.FormatUint(h%(1<<24), base) + " "
}

// Answer is the whole answer to a prompt.
func Answer(prompt []byte, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
