package head_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/head"
)

// FuzzScanner compares a Scanner with net/http: in a head that both accept, net/http has read every line as a field of its own. How
// the bytes are split between calls makes no difference.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 6\r\nA:\t b \r\n\r\nanswer"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 6\r\nY Z: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 None\nX: y\r\n\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		whole, split := &head.Scanner{}, &head.Scanner{}
		_, _ = whole.Write(sent)
		for i := range sent {
			_, _ = split.Write(sent[i : i+1])
		}
		require.Equal(t, whole.Err(), split.Err())
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(sent)), nil)
		if err != nil || head.Check(resp) != nil || resp.StatusCode < http.StatusOK || whole.Err() != nil {
			return
		}
		raw, _, complete := bytes.Cut(sent, []byte("\r\n\r\n"))
		require.True(t, complete)
		if len(resp.TransferEncoding) > 0 || resp.Trailer != nil {
			// net/http takes some fields out of the header then.
			return
		}
		fields := 0
		for _, values := range resp.Header {
			fields += len(values)
		}
		require.Equal(t, bytes.Count(raw, []byte("\r\n")), fields)
	})
}
