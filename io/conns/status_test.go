package conns

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Statuses are those of RFC 9110: 100 to 599. 101 answers a request that asks for another protocol, which none does.
func TestStatusOfAnswer(t *testing.T) {
	for status, want := range map[string]struct {
		status int
		err    error
	}{
		"000": {0, ErrBadStatus}, "001": {0, ErrBadStatus}, "099": {0, ErrBadStatus}, "+20": {0, ErrBadStatus},
		"100": {204, nil}, "101": {0, ErrBadStatus}, "103": {204, nil}, "199": {204, nil}, "200": {200, nil}, "299": {299, nil},
		"304": {304, nil}, "404": {404, nil}, "599": {599, nil}, "600": {0, ErrBadStatus}, "999": {0, ErrBadStatus},
	} {
		t.Run(status, func(t *testing.T) {
			c, peer := connPair(t, NewPool())
			_, err := fmt.Fprintf(peer, "HTTP/1.1 %s X\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", status)
			require.NoError(t, err)
			resp, err := c.Read(http.MethodPost)
			if want.err != nil {
				require.ErrorIs(t, err, want.err)
				return
			}
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			assert.Equal(t, want.status, resp.StatusCode)
		})
	}
}
