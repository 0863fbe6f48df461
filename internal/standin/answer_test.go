package standin_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/standin"
)

// A judge that looked at lines of data only took streams with other blocks for sound ones.
func TestAnswerReaderRejectsSpoiledStreams(t *testing.T) {
	prompt := standin.Prompt{Prompt: "question", Tokens: 3}
	event := func(id int) string {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", id, standin.AnswerToken(prompt.Prompt, id))
	}
	judge := func(after int, answer string) error {
		reader := &standin.AnswerReader{Prompt: prompt, After: after}
		for _, b := range []byte(answer) { // chunks end anywhere
			_, _ = reader.Write([]byte{b})
		}
		return reader.Err()
	}
	end := "event: end\ndata: end\n\n"
	sound := event(1) + event(2) + event(3) + end
	require.NoError(t, judge(0, sound))
	require.NoError(t, judge(0, strings.ReplaceAll(sound, "\n", "\r\n")))
	require.NoError(t, judge(2, event(3)+end))
	require.Error(t, judge(1, sound), "events that the client has")
	require.Error(t, judge(0, event(1)+event(2)+end), "a missing event")
	require.Error(t, judge(0, strings.TrimSuffix(sound, "\n")), "an incomplete block")
	for _, kind := range append(standin.SpoilKinds(), standin.SpoilPlain) {
		spoiled := kind.Preface() + event(1) + kind.Event(2, standin.AnswerToken(prompt.Prompt, 2)) + event(3) + end
		require.Error(t, judge(0, spoiled), kind)
	}
}
