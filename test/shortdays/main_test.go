package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A day must be played again by its seed, must begin its disruptions within the given time, and must leave out what it is told to.
func TestDayIsAFunctionOfItsSeed(t *testing.T) {
	day := func(seed uint64, without ...string) string {
		var b strings.Builder
		require.NoError(t, writeDay(&b, seed, without))
		return b.String()
	}
	for seed := range uint64(200) {
		require.Equal(t, day(seed), day(seed))
		require.NotContains(t, day(seed, "deaf", "release"), "deaf")
		entries := strings.Count(day(seed), "{ at = ")
		require.True(t, entries >= 2 && entries <= 5)
		require.NotContains(t, day(seed), "%!")
	}
}
