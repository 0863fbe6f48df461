package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// endlessBytes is far more than any head of a response takes, but ends, so that a failing test
// ends as well.
const endlessBytes = 64 << 20

// An endpoint sends bytes that are no response and do not end: the attempt must fail after a
// bounded number of bytes and close the connection, or the process runs out of memory.
func TestEndlessHead(t *testing.T) {
	for name, piece := range map[string]string{
		"one line":                  strings.Repeat("x", 1024),
		"header lines":              "X-More: " + strings.Repeat("x", 1000) + "\r\n",
		"one header":                strings.Repeat("y", 1024),
		"informational responses":   "HTTP/1.1 100 Continue\r\n\r\n",
		"responses to others":       "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx",
		"a response without end":    strings.Repeat("z", 1024),
		"chunk size without end":    strings.Repeat("0", 1024),
		"trailers of another reply": "X-Trailer: " + strings.Repeat("t", 1000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := make(chan int, 1)
				d := &fakeDialer{serve: func(c net.Conn, br *bufio.Reader) {
					readRequest(t, br)
					total := 0
					defer func() { sent <- total }()
					switch name {
					case "header lines":
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n")
					case "one header":
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nX: ")
					case "a response without end":
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 999999999\r\n\r\n")
					case "chunk size without end":
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n")
					case "trailers of another reply":
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
					}
					for total < endlessBytes {
						n, err := io.WriteString(c, piece)
						total += n
						if err != nil {
							return
						}
					}
				}}
				p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
				_, err := post(p, "1", "x")
				var f *upstream.Failure
				require.ErrorAs(t, err, &f)
				require.True(t, f.Reached, "the endpoint may have run the request")
				require.Equal(t, fleet.ReasonInvalidResponse, f.Reason)
				require.Less(t, <-sent, 4<<20)
				p.Close()
			})
		})
	}
}

// A second copy of the previous response arrives late, at each point of the next exchange and
// with a body of the same length: the next caller must get its own response or an error.
func TestLateCopyOfResponse(t *testing.T) {
	copyOfFirst := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 3\r\n\r\none"
	second := "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 3\r\n\r\ntwo"
	for name, reply := range map[string]string{
		"before the head":           copyOfFirst + second,
		"twice before the head":     copyOfFirst + copyOfFirst + second,
		"instead of the response":   copyOfFirst,
		"after the status line":     "HTTP/1.1 200 OK\r\n" + copyOfFirst + second[len("HTTP/1.1 200 OK\r\n"):],
		"between head and body":     second[:len(second)-3] + copyOfFirst + "two",
		"within the body":           second[:len(second)-1] + copyOfFirst + "o",
		"after the body":            second + copyOfFirst,
		"after an informational":    "HTTP/1.1 103 Early Hints\r\n\r\n" + copyOfFirst + second,
		"with an unfinished length": copyOfFirst[:len(copyOfFirst)-1] + second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDialer{}
				d.serve = func(c net.Conn, br *bufio.Reader) {
					if d.dials > 1 {
						readRequest(t, br)
						writeResponse(c, "3", "333")
						return
					}
					readRequest(t, br)
					writeResponse(c, "1", "one")
					if readRequest(t, br) != "" {
						fmt.Fprint(c, reply)
					}
				}
				p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
				body, err := post(p, "1", "x")
				require.NoError(t, err)
				require.Equal(t, "one", body)
				body, err = post(p, "2", "x")
				if err == nil && !strings.Contains(name, "body") {
					require.Equal(t, "two", body)
				}
				require.NotEqual(t, "one", body)
				// Whatever is left of the exchange must not reach the next caller.
				body, err = post(p, "3", "x")
				if err == nil {
					require.Equal(t, "333", body)
				}
				p.Close()
			})
		})
	}
}
