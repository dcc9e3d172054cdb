package conns

import (
	"bytes"
	"errors"
	"net/http"
)

// errFraming is returned for a response whose framing is faulty.
var errFraming = errors.New("HTTP/1.0 response with a transfer encoding")

// readHead reads a response's head.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	if err := checkStart(c.reader); err != nil {
		return nil, err
	}
	start, err := c.reader.Peek(len(http10))
	if err != nil {
		return nil, err
	}
	if string(start) == http10 {
		return c.readHTTP10Head(request)
	}
	return http.ReadResponse(c.reader, request)
}

// http10 is what the responses of HTTP/1.0 begin with.
const http10 = "HTTP/1.0"

// readHTTP10Head reads the head of an HTTP/1.0 response. net/http drops the field Transfer-Encoding of one, which would
// leave the chunks' sizes in the body; RFC 9112, section 6.1, has its framing treated as faulty.
func (c *Conn) readHTTP10Head(request *http.Request) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	record := bytes.NewBuffer(bytes.Clone(buffered))
	c.head.record = record
	response, err := http.ReadResponse(c.reader, request)
	c.head.record = nil
	if err != nil {
		return nil, err
	}
	head := record.Bytes()[:record.Len()-c.reader.Buffered()]
	if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
		return nil, errFraming
	}
	return response, nil
}
