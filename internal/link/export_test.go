package link

import (
	"bufio"
	"bytes"
	"testing/synctest"
)

// ReadFrame reads one frame and returns how many bytes it takes.
func ReadFrame(r *bufio.Reader) (int, error) {
	f, err := readFrame(r)
	return lengthBytes + f.length(), err
}

// WriteAll adds frames of these lengths, whose numbers are their positions, while the first one is being
// written, and returns their numbers in the order in which they are written. It is called in a bubble.
func WriteAll(lengths ...int) (order []uint32) {
	var out bytes.Buffer
	hold := make(chan struct{})
	w := &frameWriter{out: writerFunc(func(p []byte) (int, error) {
		<-hold
		return out.Write(p)
	})}
	for i, n := range lengths {
		_ = w.add(frame{id: uint32(i), body: make([]byte, n)})
		synctest.Wait()
	}
	close(hold)
	synctest.Wait()
	for r := bufio.NewReader(&out); ; {
		f, err := readFrame(r)
		if err != nil {
			return order
		}
		order = append(order, f.id)
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
