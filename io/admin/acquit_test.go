package admin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/io/admin"
	"chervilreach/io/line"
)

// acquitter has a conviction of one part and records the acquitted parts.
type acquitter struct {
	convicted poison.Part
	acquitted []poison.Part
}

func (a *acquitter) Acquit(part poison.Part) error {
	if part != a.convicted {
		return poison.ErrNotConvicted
	}
	a.acquitted = append(a.acquitted, part)
	return nil
}

func TestAcquit(t *testing.T) {
	tests := map[string]struct {
		method, query string
		status        int
		want          string
		acquitted     []poison.Part
	}{
		"convicted":     {method: http.MethodPost, query: "?part=00000000000000ab", status: 200, want: `{"process":"p","ok":true}`, acquitted: []poison.Part{0xab}},
		"not convicted": {method: http.MethodPost, query: "?part=00000000000000ac", status: 404, want: "part is not convicted"},
		"short part":    {method: http.MethodPost, query: "?part=ab", status: 422, want: `part is not 16 hexadecimal digits: \"ab\"`},
		"no part":       {method: http.MethodPost, status: 422, want: "part"},
		"GET":           {method: http.MethodGet, query: "?part=00000000000000ab", status: 405},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := &acquitter{convicted: 0xab}
			server := serveAcquitter(t, a)
			r, err := http.NewRequestWithContext(t.Context(), tt.method, server.URL+"/acquit"+tt.query, nil)
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, tt.status, response.StatusCode)
			require.Contains(t, readAll(t, response), tt.want)
			require.Equal(t, tt.acquitted, a.acquitted)
		})
	}
}

func TestAcquitClient(t *testing.T) {
	a := &acquitter{convicted: 0xab}
	server := serveAcquitter(t, a)
	none, _ := serve(t, source{})
	client := admin.NewClient()
	require.NoError(t, client.Acquit(t.Context(), target("p", server), 0xab))
	require.Equal(t, []poison.Part{0xab}, a.acquitted)
	err := client.Acquit(t.Context(), target("p", server), 0xac)
	require.ErrorIs(t, err, poison.ErrNotConvicted)
	require.ErrorContains(t, err, "p ("+server.Listener.Addr().String()+")")
	require.ErrorIs(t, client.Acquit(t.Context(), target("none", none), 0xab), poison.ErrNotConvicted, "the process keeps no convictions")
	require.ErrorIs(t, client.Acquit(t.Context(), unreachableTarget("gone"), 0xab), admin.ErrNoAnswer)
}

// serveAcquitter starts a server of an administration address with an acquitter.
func serveAcquitter(t *testing.T, a admin.Acquitter) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(admin.Handler(admin.HandlerConfig{
		Source: source{}, Recorder: line.New("p", &event.Clock{}, line.DefaultLimits()), Metrics: metrics.NewRegistry(), Acquitter: a,
	}))
	t.Cleanup(server.Close)
	return server
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}
