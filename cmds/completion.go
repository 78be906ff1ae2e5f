package cmds

import (
	"fmt"
	"io"
	"os"
)

type completionCommand struct {
	Args struct {
		Shell string `positional-arg-name:"bash|zsh"`
	} `positional-args:"true" required:"true"`
}

const completionLong = `Prints a script that completes commands and options. For bash:
  source <(chervilreach completion bash)
and for zsh:
  source <(chervilreach completion zsh)`

func init() {
	register("completion", "print a shell completion script", completionLong, &completionCommand{})
}

// bashCompletion is the script for bash. It runs the program itself to list the completions, by
// means of go-flags.
const bashCompletion = `_chervilreach() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}" 2>/dev/null))
}
complete -o default -F _chervilreach chervilreach
`

// zshPrelude precedes the script for bash so that zsh can run it.
const zshPrelude = "autoload -U +X bashcompinit && bashcompinit\n"

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	return c.run(os.Stdout)
}

func (c *completionCommand) run(w io.Writer) error {
	script := bashCompletion
	switch c.Args.Shell {
	case "bash":
	case "zsh":
		script = zshPrelude + script
	default:
		return fmt.Errorf("%w: shell %q is neither bash nor zsh", ErrUsage, c.Args.Shell)
	}
	if _, err := io.WriteString(w, script); err != nil {
		return fmt.Errorf("write script: %w", err)
	}
	return nil
}
