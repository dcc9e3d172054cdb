package forward

// response is a complete response of a replica.
type response struct {
	status int
	header map[string][]string
	body   []byte
}
