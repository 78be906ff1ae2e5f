package cmds

import (
	"fmt"
	"os"

	"chervilreach/config"
)

// checkSettingsCommand validates settings files and starts nothing.
type checkSettingsCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

func init() {
	register("check-settings", "check settings files",
		"Validates settings files and prints each error with its file, line, column and field.",
		&checkSettingsCommand{})
}

// Execute implements flags.Commander.
func (c *checkSettingsCommand) Execute([]string) error {
	invalid := 0
	for _, path := range c.Args.Files {
		if err := config.CheckFile(path); err != nil {
			invalid++
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Println(path + ": ok")
	}
	if invalid > 0 {
		return fmt.Errorf("%w: %d of %d settings files are invalid", ErrUsage, invalid, len(c.Args.Files))
	}
	return nil
}
