package head_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/head"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// innerResponse is a complete response. No sound response of the tests has it in its body.
const innerResponse = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\ninner"

// A status that was none was taken for an informational one: the body of the response was read as the next response, and
// reached the caller as such.
func TestInvalidStatus(t *testing.T) {
	forEachLine(t, "status.txt", func(t *testing.T, line string, status int, get getFunc) {
		got, body, err := get(line + "\r\nRequest-Id: 1\r\nContent-Length: " + strconv.Itoa(len(innerResponse)) + "\r\n\r\n" + innerResponse)
		if status == invalid {
			require.Error(t, err, "status %d, body %q", got, body)
			return
		}
		require.NoError(t, err)
		require.Equal(t, status, got)
		require.Equal(t, status == http.StatusOK, body == "inner")
	})
}

// A field whose name had a blank was skipped, or joined to the value before: its length or encoding was not seen, and callers got a
// body that was not the endpoint's, or the line as part of another field.
func TestInvalidFields(t *testing.T) {
	forEachLine(t, "fields.txt", checkFields)
}

func checkFields(t *testing.T, lines string, status int, get getFunc) {
	got, body, err := get("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + lines + "\r\n\r\nanswer")
	if status == invalid {
		require.Error(t, err, "status %d, body %q", got, body)
		return
	}
	require.NoError(t, err)
	require.Equal(t, status, got)
	require.Equal(t, "answer", body)
}

// The head of a response may follow informational ones.
func TestInvalidFieldsAfterInformationalResponse(t *testing.T) {
	forEachLine(t, "fields.txt", func(t *testing.T, lines string, status int, get getFunc) {
		checkFields(t, lines, status, func(sent string) (int, string, error) {
			return get("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + sent)
		})
	})
}

// invalid stands for the status of a response that is none.
const invalid = 0

// getFunc returns the response that is read if an endpoint sends the given bytes and closes the connection.
type getFunc func(sent string) (status int, body string, err error)

// forEachLine calls a function with the text and the status in each line of a file, for each client.
func forEachLine(t *testing.T, file string, check func(t *testing.T, text string, status int, get getFunc)) {
	data, err := os.ReadFile("testdata/" + file)
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		quoted, err := strconv.QuotedPrefix(line)
		require.NoError(t, err)
		text, err := strconv.Unquote(quoted)
		require.NoError(t, err)
		status := invalid
		if want := strings.TrimSpace(line[len(quoted):]); want != "invalid" {
			status, err = strconv.Atoi(want)
			require.NoError(t, err)
		}
		for client, get := range map[string]getFunc{"upstream": getUpstream, "transport": getTransport} {
			t.Run(client+" "+quoted, func(t *testing.T) { check(t, text, status, get) })
		}
	}
}

func getUpstream(sent string) (int, string, error) {
	p := &upstream.Pool{HeaderCodec: idCodec{}, Dial: dial(sent)}
	defer p.Close()
	a, err := p.Send(context.Background(), "e", upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}}, "1")
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return a.StatusCode, string(body), err
}

func getTransport(sent string) (int, string, error) {
	c := &http.Client{Transport: head.NewTransport(&http.Transport{DialContext: dial(sent)})}
	defer c.CloseIdleConnections()
	resp, err := c.Post("http://h/", "", nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// dial connects to an endpoint that reads a request and sends the given bytes.
func dial(sent string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, endpoint := net.Pipe()
		go func() {
			defer endpoint.Close()
			if _, err := http.ReadRequest(bufio.NewReader(endpoint)); err == nil {
				_, _ = io.WriteString(endpoint, sent)
			}
		}()
		return client, nil
	}
}

// idCodec reads the request ID of a response; its other methods are not used.
type idCodec struct{ fleet.HeaderCodec }

func (idCodec) DecodeResponse(_ int, h http.Header) fleet.ResponseAttrs {
	return fleet.ResponseAttrs{ID: h.Get("Request-Id")}
}
