package cmds

import (
	"fmt"
	"os"

	"chervilreach/config"
)

// checkSettingsCommand checks settings files without starting anything.
type checkSettingsCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

func init() {
	register("check-settings", "check settings files",
		"Checks settings files and prints each fault with its file, line, column and field.",
		&checkSettingsCommand{})
}

// Execute implements flags.Commander.
func (c *checkSettingsCommand) Execute([]string) error {
	bad := 0
	for _, path := range c.Args.Files {
		if err := config.CheckFile(path); err != nil {
			bad++
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Println(path + ": ok")
	}
	if bad > 0 {
		return fmt.Errorf("%w: %d of %d settings files are faulty", ErrUsage, bad, len(c.Args.Files))
	}
	return nil
}
