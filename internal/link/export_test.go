package link

import "bufio"

// ReadFrame reads one frame and returns how many bytes it takes.
func ReadFrame(r *bufio.Reader) (int, error) {
	f, err := readFrame(r)
	return lengthBytes + f.length(), err
}
