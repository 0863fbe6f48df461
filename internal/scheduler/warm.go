package scheduler

// warmHeads is how many prompt heads are remembered for each endpoint. Endpoints
// cache the prefixes of prompts in limited memory and report late and with gaps, so
// what was sent there lately is the better guess.
const warmHeads = 64

// warmth remembers which prompt heads each endpoint ran last.
type warmth struct {
	heads map[string]map[uint64]bool
	order map[string][]uint64
}

func newWarmth() *warmth {
	return &warmth{heads: map[string]map[uint64]bool{}, order: map[string][]uint64{}}
}

// note records that an endpoint runs a prompt. Zero means a request without one.
func (w *warmth) note(endpoint string, head uint64) {
	if head == 0 || w.heads[endpoint][head] {
		return
	}
	if w.heads[endpoint] == nil {
		w.heads[endpoint] = map[uint64]bool{}
	}
	w.heads[endpoint][head] = true
	w.order[endpoint] = append(w.order[endpoint], head)
	if len(w.order[endpoint]) > warmHeads {
		delete(w.heads[endpoint], w.order[endpoint][0])
		w.order[endpoint] = w.order[endpoint][1:]
	}
}

func (w *warmth) holds(endpoint string, head uint64) bool { return w.heads[endpoint][head] }
