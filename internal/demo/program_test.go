package demo_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/greengagestep/greengagestep/internal/command"
	"github.com/greengagestep/greengagestep/internal/demo"
)

func TestMain(m *testing.M) {
	os.Setenv("GREENGAGESTEP_SECRET", demo.Secret)
	os.Exit(m.Run())
}

// greengagestep ARGS runs a command of the greengagestep program against the fleet.
// @NAME is replaced by the operator address of an instance.
func cmdProgram(ts *testscript.TestScript, neg bool, args []string) {
	s := scenarioOf(ts)
	var out, errs bytes.Buffer
	p := &command.Program{Out: &out, Err: &errs}
	if s.site != nil {
		p.Transport = s.site.Client().Transport
	}
	for i, a := range args {
		if name, ok := strings.CutPrefix(a, "@"); ok {
			args[i] = s.node(ts, name).OperatorAddress
		}
		if strings.HasSuffix(a, ".yaml") {
			args[i] = ts.MkAbs(a)
		}
	}
	code := p.Main(args)
	workDir := ts.MkAbs("") + "/"
	fmt.Fprint(ts.Stdout(), strings.ReplaceAll(out.String(), workDir, ""))
	fmt.Fprint(ts.Stderr(), strings.ReplaceAll(errs.String(), workDir, ""))
	if (code != 0) != neg {
		ts.Fatalf("exit code %d", code)
	}
}

// raw NAME callers|peers|operators FILE sends the lines of a file to one of the
// addresses of an instance and prints the status, the outcome, the retry delay and the
// start of the answer. A line "%pad N" is replaced by a header with N bytes.
func cmdRaw(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	n := s.node(ts, args[0])
	address := map[string]string{"callers": n.CallerAddress, "peers": n.PeerAddress, "operators": n.OperatorAddress}[args[1]]
	conn, err := s.site.Network.Dial(context.Background(), "tcp", address)
	ts.Check(err)
	defer conn.Close()
	go func() {
		for _, line := range strings.Split(strings.TrimSuffix(ts.ReadFile(args[2]), "\n"), "\n") {
			var count int
			if _, err := fmt.Sscanf(line, "%%pad %d", &count); err == nil {
				line = "X-Pad: " + strings.Repeat("x", count)
			}
			if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
				return
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		fmt.Fprintln(ts.Stdout(), "no answer")
		return
	}
	body := make([]byte, 512)
	count, _ := io.ReadFull(resp.Body, body)
	fmt.Fprintf(ts.Stdout(), "%d outcome=%s retry=%s %s\n", resp.StatusCode, resp.Header.Get("Outcome"), resp.Header.Get("Retry-After"), body[:count])
}
