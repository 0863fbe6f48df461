package fleet_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// A caller that stated fewer prompt tokens than the parts of its prompt have, or none, was charged less
// than others, and its requests counted as less than no work.
func TestPromptIsAtLeastAsLongAsItsParts(t *testing.T) {
	parts := []fleet.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}, {ID: 3, Tokens: 30}}
	for stated, want := range map[int]int{0: 5530, 100: 5530, 5530: 5530, 9000: 9000} {
		require.Equal(t, want, fleet.RequestAttrs{InputTokens: stated, Prompt: parts}.PromptTokens())
	}
	require.Equal(t, 70, fleet.RequestAttrs{InputTokens: 70}.PromptTokens())
	endless := []fleet.PromptPart{{ID: 1, Tokens: math.MaxInt}, {ID: 2, Tokens: math.MaxInt}}
	require.Equal(t, fleet.MaxPromptTokens, fleet.RequestAttrs{Prompt: endless}.PromptTokens())
}
