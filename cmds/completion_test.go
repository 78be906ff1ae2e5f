package cmds

import (
	"bytes"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"
)

func TestCompletion(t *testing.T) {
	tests := map[string]struct {
		args []string
		want []string
	}{
		"command":      {args: []string{"timel"}, want: []string{"timeline"}},
		"acquit":       {args: []string{"acq"}, want: []string{"acquit"}},
		"option":       {args: []string{"timeline", "--rec"}, want: []string{"--record"}},
		"two options":  {args: []string{"timeline", "--re"}, want: []string{"--record", "--request"}},
		"no such name": {args: []string{"nothing-like-this"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Setenv("GO_FLAGS_COMPLETION", "1")
			parser, err := newParser()
			require.NoError(t, err)
			var got []string
			parser.CompletionHandler = func(items []flags.Completion) {
				for _, item := range items {
					got = append(got, item.Item)
				}
			}
			_, err = parser.ParseArgs(tt.args)
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}

func TestCompletionScript(t *testing.T) {
	for shell, want := range map[string]string{"bash": "complete -o default", "zsh": "bashcompinit"} {
		var out bytes.Buffer
		c := completionCommand{}
		c.Args.Shell = shell
		require.NoError(t, c.run(&out))
		require.Contains(t, out.String(), want)
	}
	c := completionCommand{}
	c.Args.Shell = "fish"
	require.ErrorIs(t, c.run(&bytes.Buffer{}), ErrUsage)
}
