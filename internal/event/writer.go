package event

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// flushInterval is how long lines are buffered to be written together, since each
	// write costs a system call.
	flushInterval = 200 * time.Millisecond
	// maxPendingBytes bounds the buffered lines while the reader of the log is slow.
	maxPendingBytes = 1 << 20
	// maxDebugBytes is the part of maxPendingBytes that lines of level debug may
	// fill; the rest is reserved for failures and changes.
	maxDebugBytes = maxPendingBytes / 4
	// debugBytesPerSecond is the rate and the burst of the token bucket that limits
	// lines of level debug.
	debugBytesPerSecond = 48 << 10
)

// Level is the least importance of log lines that are written.
type Level string

// The levels. LevelDebug adds the lines of frequent events, such as one for each request that
// was served.
const (
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Writer buffers log lines and writes them in the background. Lines that exceed the
// buffer are dropped and counted, those of level debug first. Create it with New. It is
// safe for concurrent use if its output is.
type Writer struct {
	// Level is the lowest level of the lines that are written; empty means LevelInfo. It is
	// set before the first line.
	Level Level

	out io.Writer

	mu                sync.Mutex
	pending           []byte
	spare             []byte // the buffer of the last flush, to be reused
	droppedSinceFlush int64
	droppedTotal      int64
	debugTokens       float64 // token bucket of the lines of level debug, in bytes
	lastRefill        time.Time
}

// New returns a writer to out. Lines are written while Serve runs and when a logger is
// synced.
func New(out io.Writer) *Writer { return &Writer{out: out, debugTokens: debugBytesPerSecond} }

// String returns the name of the writer in the supervisor's events.
func (w *Writer) String() string { return "log writer" }

// Serve implements suture.Service. It writes the remaining lines before it returns.
func (w *Writer) Serve(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		}
	}
}

// DroppedLines returns how many lines have been dropped since the start.
func (w *Writer) DroppedLines() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

func (w *Writer) flush() {
	w.mu.Lock()
	out, dropped := w.pending, w.droppedSinceFlush
	w.pending, w.spare, w.droppedSinceFlush = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"time\":%q,\"msg\":%q,\"lines\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), Dropped, dropped)
	}
	if len(out) > 0 {
		// A failure of the log output cannot be reported anywhere else.
		_, _ = w.out.Write(out)
	}
	w.mu.Lock()
	w.spare = out
	w.mu.Unlock()
}

// add buffers a line unless the limit of its level is reached.
func (w *Writer) add(line []byte, debug bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := maxPendingBytes
	if debug {
		limit = maxDebugBytes
		if !w.takeDebugTokens(len(line), time.Now()) {
			limit = 0
		}
	}
	if len(w.pending)+len(line) > limit {
		w.droppedSinceFlush++
		w.droppedTotal++
		return
	}
	w.pending = append(w.pending, line...)
}

// takeDebugTokens refills the token bucket of the lines of level debug and takes n bytes
// from it. It reports false and takes none if there are fewer. The caller holds w.mu.
func (w *Writer) takeDebugTokens(n int, now time.Time) bool {
	if !w.lastRefill.IsZero() {
		w.debugTokens = min(w.debugTokens+debugBytesPerSecond*now.Sub(w.lastRefill).Seconds(), debugBytesPerSecond)
	}
	w.lastRefill = now
	if w.debugTokens < float64(n) {
		return false
	}
	w.debugTokens -= float64(n)
	return true
}

// Logger returns a logger that writes JSON lines to w. Lines of level debug are those of
// frequent events, which are dropped first.
func (w *Writer) Logger() *zap.Logger { return zap.New(&logCore{writer: w, encoder: newEncoder()}) }

func newEncoder() zapcore.Encoder {
	conf := zap.NewProductionEncoderConfig()
	conf.TimeKey = "time"
	conf.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	conf.EncodeDuration = zapcore.MillisDurationEncoder
	return zapcore.NewJSONEncoder(conf)
}

// logCore passes encoded lines to the writer. It implements zapcore.Core.
type logCore struct {
	writer  *Writer
	encoder zapcore.Encoder
}

// Enabled implements zapcore.LevelEnabler.
func (c *logCore) Enabled(l zapcore.Level) bool {
	return l > zapcore.DebugLevel || c.writer.Level == LevelDebug
}

// With implements zapcore.Core.
func (c *logCore) With(fields []zapcore.Field) zapcore.Core {
	clone := &logCore{writer: c.writer, encoder: c.encoder.Clone()}
	for _, f := range fields {
		f.AddTo(clone.encoder)
	}
	return clone
}

// Check implements zapcore.Core. Lines of level debug that would be dropped are not
// encoded.
func (c *logCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) || e.Level == zapcore.DebugLevel && !c.writer.admitDebug() {
		return ce
	}
	return ce.AddCore(e, c)
}

// admitDebug reports whether a line of level debug may be written now, and counts it as
// dropped if not.
func (w *Writer) admitDebug() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takeDebugTokens(1, time.Now()) && len(w.pending) < maxDebugBytes {
		return true
	}
	w.droppedSinceFlush++
	w.droppedTotal++
	return false
}

// Write implements zapcore.Core.
func (c *logCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.writer.add(buf.Bytes(), e.Level == zapcore.DebugLevel)
	buf.Free()
	return nil
}

// Sync implements zapcore.Core.
func (c *logCore) Sync() error {
	c.writer.flush()
	return nil
}
