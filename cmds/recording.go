package cmds

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"chervilreach/core/fleet"
	"chervilreach/io/line"
	"chervilreach/io/node"
)

// errReplay means that the replay of a recording failed or had other effects than recorded.
var errReplay = errors.New("recorded run does not replay")

// replayedProcess is the JSON output for the replay of one process.
type replayedProcess struct {
	File    string          `json:"file"`
	Process fleet.ProcessID `json:"process"`
	Events  int             `json:"events"`
	Error   string          `json:"error,omitempty"`
}

// isRecording reports whether a file is a recording, that is, whether its first line is a line of
// a timeline. It returns false for an empty file.
func isRecording(name string) (bool, error) {
	f, err := os.Open(name)
	if err != nil {
		return false, fmt.Errorf("%w: open file: %w", ErrUsage, err)
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, line.MaxLineBytes)
	if !scanner.Scan() {
		return false, nil
	}
	_, err = line.Parse(scanner.Bytes())
	return err == nil, nil
}

// replayRecording replays a file that timeline --record wrote, and prints the result for each
// process. It returns errReplay if a process failed.
func replayRecording(w io.Writer, name string, asJSON bool) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("%w: open record: %w", ErrUsage, err)
	}
	defer func() { _ = f.Close() }()
	lines, err := line.Read(f)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUsage, name, err)
	}
	failed := 0
	replayed := node.Replay(lines)
	for _, r := range replayed {
		p := replayedProcess{File: name, Process: r.Process, Events: r.EventCount}
		if r.Err != nil {
			failed++
			p.Error = r.Err.Error()
		}
		if err := p.print(w, asJSON); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%s: %d of %d processes: %w", name, failed, len(replayed), errReplay)
	}
	return nil
}

func (p replayedProcess) print(w io.Writer, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(p); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	}
	outcome := "the same effects"
	if p.Error != "" {
		outcome = p.Error
	}
	if _, err := fmt.Fprintf(w, "%s: %d events: %s\n", p.Process, p.Events, outcome); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
