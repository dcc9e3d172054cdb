package target_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/target"
)

// refusesAnswer checks that nothing of an answer is passed on, whatever kind of target sends it.
func refusesAnswer(t *testing.T, answer string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := graniteknot.Address(listener.Addr().String())
	for name, to := range map[string]graniteknot.Target{"plain": target.NewPlain(address), "engine": target.NewEngine(address)} {
		var service group.Group
		service.Go(func(context.Context) {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		var got bytes.Buffer
		work := graniteknot.Work{Method: http.MethodPost, Path: "/", Body: []byte("{}")}
		err := to.Run(ctx, work, func(p graniteknot.Piece) error {
			_, _ = got.WriteString(http.StatusText(p.Status))
			_, _ = got.Write(p.Data)
			return nil
		})
		cancel()
		if err == nil || got.Len() > 0 {
			t.Errorf("%s: %q, %v", name, got.String(), err)
		}
		service.Wait()
	}
	_ = listener.Close()
}

// TestAnswerWithoutAStatusIsNotPassedOn guards against a status outside HTTP's that callers get.
func TestAnswerWithoutAStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "101", "600", "999"} {
		refusesAnswer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\nhalf")
	}
}

// TestAnswerWithBadFieldsIsNotPassedOn guards against names of fields that are none, also where they are to frame the body.
func TestAnswerWithBadFieldsIsNotPassedOn(t *testing.T) {
	for _, line := range []string{"X A: b\r\nContent-Length: 4", "Content-Length : 4", "Transfer-Encoding : chunked\r\nContent-Length: 4", "X\x01A: b"} {
		refusesAnswer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\nhalf")
	}
}
