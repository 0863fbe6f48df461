package standin

import (
	"errors"
	"fmt"
	"strings"
)

// AnswerReader judges the streamed answer to a prompt as a client does that splits it at empty lines:
// each block is the next token with its number, or the last event, which has a name. Lines end with
// CR, LF or both. It is an io.Writer that never fails. Exported fields are set before the first
// write. It is not safe for concurrent use.
type AnswerReader struct {
	Prompt Prompt
	// After is the number of tokens that the client has already.
	After int

	block   []string
	line    strings.Builder
	afterCR bool
	tokens  int
	err     error
}

// answerEnd is the event that ends an answer.
const answerEnd = "event: end\ndata: end"

var errIncompleteAnswer = errors.New("the answer is incomplete")

// Write implements io.Writer.
func (a *AnswerReader) Write(p []byte) (int, error) {
	for _, b := range p {
		lineFeedOfCR := b == '\n' && a.afterCR
		a.afterCR = b == '\r'
		switch {
		case lineFeedOfCR:
		case b == '\n' || b == '\r':
			a.endLine()
		default:
			a.line.WriteByte(b)
		}
	}
	return len(p), nil
}

func (a *AnswerReader) endLine() {
	line := a.line.String()
	a.line.Reset()
	if line != "" {
		a.block = append(a.block, line)
		return
	}
	block := strings.Join(a.block, "\n")
	a.block = nil
	next := a.After + a.tokens + 1
	if block == fmt.Sprintf("id: %d\ndata: %s", next, AnswerToken(a.Prompt.Prompt, next)) {
		a.tokens++
		return
	}
	if block != answerEnd && a.err == nil {
		a.err = fmt.Errorf("block %.80q after %d tokens", block, next-1)
	}
}

// Tokens returns the number of sound tokens until now.
func (a *AnswerReader) Tokens() int { return a.tokens }

// Err returns what makes the answer, which has ended, another one than the whole answer to the
// prompt, nil if nothing does.
func (a *AnswerReader) Err() error {
	switch {
	case a.err != nil:
		return a.err
	case len(a.block) > 0 || a.line.Len() > 0 || a.After+a.tokens != a.Prompt.Tokens:
		return errIncompleteAnswer
	}
	return nil
}
