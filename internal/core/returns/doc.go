// Package returns chooses when refused callers are told to return, and recognizes those that do.
// A promised return is recorded as a claim under the request's identity. The gateways tell each
// other their claims, so that a caller may return to any of them, and so that no two promise the
// same capacity. Sending the messages and measuring the demand are left to the callers.
package returns
