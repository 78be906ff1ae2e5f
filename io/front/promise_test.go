package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/io/front"
)

// Guards against an engine's answer that its caller takes for the router's word that the request has not run.
func TestAnswerOfEngineIsNoRefusal(t *testing.T) {
	const words = "the words of the engine"
	for _, stream := range []string{"true", "false"} {
		for status, want := range map[int]int{408: 502, 421: 502, 429: 502, 503: 502, 200: 200, 404: 404, 409: 409, 500: 500, 504: 504} {
			for contentType, wantType := range map[string]string{
				"application/problem+json": "application/json", "Application/Problem+JSON ;;x": "application/json",
				"application/json": "application/json", "text/plain": "text/plain", "": "",
			} {
				t.Run(fmt.Sprintf("%d, %q, stream %s", status, contentType, stream), func(t *testing.T) {
					f := newFront(func(_ context.Context, _ *front.Call, out front.Sink) error {
						if err := out.Begin(status, contentType); err != nil {
							return err
						}
						return out.Chunk([]byte(words))
					})
					w := httptest.NewRecorder()
					f.ServeHTTP(w, request(http.MethodPost, chatPath, `{"model": "notices", "messages": [], "stream": `+stream+`}`))
					res := w.Result()
					defer func() { require.NoError(t, res.Body.Close()) }()
					assert.Equal(t, want, res.StatusCode)
					assert.NotEmpty(t, res.Header.Get("X-Request-Id"))
					if wantType != "" {
						assert.Equal(t, wantType, res.Header.Get("Content-Type"))
					}
					body, err := io.ReadAll(res.Body)
					require.NoError(t, err)
					assert.Equal(t, words, string(body))
				})
			}
		}
	}
}

// A dispatcher that has begun an answer and then fails has run the request, whatever it says.
func TestRefusalAfterTheBeginningOfAnAnswer(t *testing.T) {
	f := newFront(func(_ context.Context, _ *front.Call, out front.Sink) error {
		if err := out.Begin(http.StatusOK, "application/json"); err != nil {
			return err
		}
		return &front.RefusedError{Refusal: fleet.Refusal{Code: fleet.CodeOverloaded, NotRun: fleet.NotRunTrue}}
	})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, request(http.MethodPost, chatPath, validBody))
	p := readProblem(t, w.Result())
	assert.Equal(t, http.StatusBadGateway, p.Status)
	assert.Equal(t, fleet.NotRunFalse, p.NotRun)
}
