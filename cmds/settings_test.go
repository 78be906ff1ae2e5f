package cmds

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckSettings(t *testing.T) {
	const router = `{
		"process": {"host": "h", "failure-domain": "derby", "wire": "127.0.0.1:1", "admin": "127.0.0.1:2"},
		"kv": {"addresses": ["127.0.0.1:3"]}, "hosts": {"address": "127.0.0.1:4"},
		"route": {"listen": "127.0.0.1:5"}}`
	tests := map[string]struct {
		texts []string
		code  int
	}{
		"valid":         {[]string{router}, ExitOK},
		"incomplete":    {[]string{`{"route": {"listen": "127.0.0.1:5"}}`}, ExitUsage},
		"invalid":       {[]string{`{"route": {"listen": "localhost:5"}}`}, ExitUsage},
		"no role":       {[]string{`{}`}, ExitUsage},
		"one of two":    {[]string{router, `{"rout": {}}`}, ExitUsage},
		"no file":       {nil, ExitUsage},
		"two valid":     {[]string{router, router}, ExitOK},
		"not an object": {[]string{`[]`}, ExitUsage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			args := []string{"check-settings"}
			for i, text := range tt.texts {
				path := filepath.Join(t.TempDir(), string(rune('a'+i))+".json")
				require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
				args = append(args, path)
			}
			require.Equal(t, tt.code, Run(args))
		})
	}
}
