// Package strict refuses responses that net/http accepts although they are no HTTP. Their servers are in
// trouble, and what they sent can't be told from what they meant to send.
package strict
