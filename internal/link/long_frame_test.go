package link

import (
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/stretchr/testify/require"
)

// A long frame is written although short ones keep coming while each write is under way.
func TestLongFrameIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w *frameWriter
		var longs, writes atomic.Int64
		w = &frameWriter{onError: func(error) {}, out: writerFunc(func(p []byte) (int, error) {
			if len(p) > maxSpareBytes {
				longs.Add(1)
			}
			time.Sleep(time.Millisecond) // a write that takes as long as the pause between two reservations
			if writes.Add(1) < 600 {
				_ = w.add(frame{id: 1, body: make([]byte, 300)})
			}
			return len(p), nil
		})}
		_ = w.add(frame{id: 1, body: make([]byte, 300)})
		_ = w.add(frame{id: 2, body: make([]byte, 20_000)})
		time.Sleep(500 * time.Millisecond) // messageTimeout
		inTime := longs.Load()
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, inTime)
	})
}

// A long frame that has been written is not kept.
func TestLongFrameIsFreed(t *testing.T) {
	var p weak.Pointer[byte]
	done := make(chan struct{})
	w := &frameWriter{onError: func(error) {}, out: writerFunc(func(b []byte) (int, error) {
		p = weak.Make(&b[0])
		close(done)
		return len(b), nil
	})}
	_ = w.add(frame{id: 2, body: make([]byte, 200_000)})
	<-done
	for range 3 {
		runtime.GC()
	}
	for {
		w.mu.Lock()
		writing := w.writing
		w.mu.Unlock()
		if !writing {
			break
		}
	}
	runtime.GC()
	require.Nil(t, p.Value())
	runtime.KeepAlive(w)
}
