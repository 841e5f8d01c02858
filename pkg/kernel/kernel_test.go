package kernel

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"
)

// recorder is a service that records when it is started and stopped.
type recorder struct {
	name   string
	events *[]string
}

func (r recorder) Start(context.Context) error {
	*r.events = append(*r.events, "start "+r.name)
	return nil
}
func (r recorder) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

// Guards against a service being started before one that it depends on, or stopped after it.
func TestOrderFollowsRegistration(t *testing.T) {
	var events []string
	app := fxtest.New(t, fx.NopLogger, Module(
		Factory{"a", func(*Kernel) (any, error) { return recorder{"a", &events}, nil }},
		Factory{"b", func(k *Kernel) (any, error) {
			_, err := Lookup[recorder](k, "a")
			return recorder{"b", &events}, err
		}},
	))
	app.RequireStart().RequireStop()
	require.Equal(t, []string{"start a", "start b", "stop b", "stop a"}, events)
}

func TestLookupErrorsNameTheCause(t *testing.T) {
	k := New(fxtest.NewLifecycle(t), nil)
	require.NoError(t, k.Register("a", 1))
	require.ErrorContains(t, k.Register("a", 2), "registered twice")
	_, err := Lookup[int](k, "b")
	require.ErrorContains(t, err, "not registered")
	_, err = Lookup[string](k, "a")
	require.ErrorContains(t, err, "is a int")
}
