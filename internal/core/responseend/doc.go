// Package responseend judges whether the end of a response shows that the response is whole. It
// does not read or write, and leaves it to its user to gather the evidence and to act on what it shows.
package responseend
