package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/front"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// arrival is the arrival time of all requests in tests.
var arrival = time.Date(2026, 6, 6, 9, 0, 0, 0, time.UTC)

// staticRecords is a configuration that does not change.
type staticRecords struct{ config *record.Config }

func (s staticRecords) Current() *record.Config { return s.config }

// dispatcherFunc adapts a function to front.Dispatcher.
type dispatcherFunc func(ctx context.Context, call *front.Call, out front.Sink) error

func (d dispatcherFunc) Dispatch(ctx context.Context, call *front.Call, out front.Sink) error {
	return d(ctx, call, out)
}

// hashOf returns the hash of a bearer key as it is stored in a member's record.
func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// testRecords returns records with two members: association may use everything except the
// model secret and the service ledger; guest may use only version v1 of the model notices,
// with no adapter or with derby.
func testRecords() *record.Config {
	return &record.Config{
		Revision: 1,
		Members: map[fleet.MemberID]record.Member{
			"association": {
				ID: "association", KeyHashes: []string{hashOf("key-a")},
				Rights: []record.Right{{Model: "notices"}, {Model: "answers"}, {Service: "bookings"}, {Service: "banners"}},
			},
			"guest": {
				ID: "guest", KeyHashes: []string{hashOf("key-g")},
				Rights: []record.Right{{Model: "notices", Versions: []string{"v1"}, Adapters: []fleet.AdapterID{"derby"}}},
			},
		},
		Models: map[fleet.ModelID]record.Model{
			"notices@v1":  {ID: "notices@v1", Adapters: map[fleet.AdapterID]fleet.Bytes{"derby": 1, "leicester": 1}, DefaultKind: "notice"},
			"notices@v9":  {ID: "notices@v9", Adapters: map[fleet.AdapterID]fleet.Bytes{"derby": 1}, DefaultKind: "notice"},
			"notices@v10": {ID: "notices@v10", DefaultKind: "notice"},
			"answers@1":   {ID: "answers@1"},
			"secret@1":    {ID: "secret@1", DefaultKind: "question"},
		},
		Kinds: map[fleet.KindID]record.Kind{
			"notice":   {ID: "notice", Urgency: 2, Patience: 20 * time.Second},
			"question": {ID: "question", Urgency: 5, Patience: 8 * time.Second, Idempotent: true},
		},
		Services: map[fleet.ServiceID]record.Service{
			"bookings": {ID: "bookings", Kind: "notice"},
			"banners":  {ID: "banners", Kind: "question"},
			"ledger":   {ID: "ledger", Kind: "question"},
		},
	}
}

// newFront returns a front with testRecords, the fixed time arrival and the fixed ID
// "generated".
func newFront(dispatcher dispatcherFunc, change ...func(*front.Options)) *front.Front {
	opts := front.Options{
		Records:    staticRecords{config: testRecords()},
		Dispatcher: dispatcher,
		Now:        func() time.Time { return arrival },
		NewID:      func() string { return "generated" },
		Metrics:    metrics.NewRegistry(),
	}
	for _, c := range change {
		c(&opts)
	}
	return front.New(opts)
}

// answerOK is a dispatcher function that sends a complete response in one chunk.
func answerOK(_ context.Context, _ *front.Call, out front.Sink) error {
	if err := out.Begin(http.StatusOK, "application/json"); err != nil {
		return err
	}
	return out.Chunk([]byte(`{"choices":[]}`))
}

// request returns a valid request of the member association. headers are pairs of name and
// value that replace its headers; an empty value removes the header.
func request(method, path, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Del(headers[i])
		if headers[i+1] != "" {
			r.Header.Set(headers[i], headers[i+1])
		}
	}
	return r
}

// serve returns the response of a front to r and the call that it dispatched, or nil if it
// dispatched none.
func serve(t *testing.T, r *http.Request) (*http.Response, *front.Call) {
	t.Helper()
	var got *front.Call
	f := newFront(func(ctx context.Context, call *front.Call, out front.Sink) error {
		got = call
		return answerOK(ctx, call, out)
	})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w.Result(), got
}

// readProblem decodes the problem in a response and checks that it is consistent.
func readProblem(t *testing.T, res *http.Response) front.Problem {
	t.Helper()
	require.Equal(t, "application/problem+json", res.Header.Get("Content-Type"))
	var p front.Problem
	require.NoError(t, json.NewDecoder(res.Body).Decode(&p))
	require.Equal(t, res.StatusCode, p.Status)
	require.NotEmpty(t, p.Title)
	return p
}

const (
	chatPath  = "/v1/chat/completions"
	validBody = `{"model": "notices", "messages": [{"role": "user", "content": "Close Elm Street"}], "max_tokens": 64}`
)

// TestCall checks the Call that is dispatched for each valid request.
func TestCall(t *testing.T) {
	tests := map[string]struct {
		r    *http.Request
		want front.Call
	}{
		"chat": {request("POST", chatPath, validBody), front.Call{
			ID: "association/generated", Target: fleet.Target{Model: "notices@v10"}, Kind: "notice", Urgency: 2,
			Deadline: arrival.Add(20 * time.Second), Path: chatPath, MaxTokens: 64, PromptTokens: 27,
			Body: []byte(strings.Replace(validBody, "notices", "notices@v10", 1)),
		}},
		"full model name, streamed": {request("POST", "/v1/completions", `{"stream":true,"model" : "notices@v1:derby" }`), front.Call{
			ID: "association/generated", Target: fleet.Target{Model: "notices@v1", Adapter: "derby"}, Kind: "notice", Urgency: 2,
			Deadline: arrival.Add(20 * time.Second), Path: "/v1/completions", PromptTokens: 12, Stream: true,
			Body: []byte(`{"stream":true,"model" : "notices@v1:derby" }`),
		}},
		"highest version with the adapter": {request("POST", chatPath, `{"model":"notices:derby"}`), front.Call{
			ID: "association/generated", Target: fleet.Target{Model: "notices@v9", Adapter: "derby"}, Kind: "notice", Urgency: 2,
			Deadline: arrival.Add(20 * time.Second), Path: chatPath, PromptTokens: 7, Body: []byte(`{"model":"notices@v9:derby"}`),
		}},
		"highest version with the right": {request("POST", chatPath, `{"model":"notices"}`, "Authorization", "bearer key-g"), front.Call{
			ID: "guest/generated", Member: "guest", Target: fleet.Target{Model: "notices@v1"}, Kind: "notice", Urgency: 2,
			Deadline: arrival.Add(20 * time.Second), Path: chatPath, PromptTokens: 6, Body: []byte(`{"model":"notices@v1"}`),
		}},
		"headers": {request("POST", chatPath, `{"model":"answers@1"}`, "X-Request-Kind", "question", "X-Patience-Ms", "1500",
			"X-Request-Id", "r.1", "Idempotency-Key", "k-1"), front.Call{
			ID: "association/r.1/generated", Target: fleet.Target{Model: "answers@1"}, Kind: "question", Urgency: 5, Idempotent: true,
			Deadline: arrival.Add(1500 * time.Millisecond), Path: chatPath, IdempotencyKey: "k-1", PromptTokens: 6, Body: []byte(`{"model":"answers@1"}`),
		}},
		"patience is never lengthened": {request("POST", chatPath, `{"model":"notices@v10"}`, "X-Patience-Ms", "30000"), front.Call{
			ID: "association/generated", Target: fleet.Target{Model: "notices@v10"}, Kind: "notice", Urgency: 2,
			Deadline: arrival.Add(20 * time.Second), Path: chatPath, PromptTokens: 6, Body: []byte(`{"model":"notices@v10"}`),
		}},
		"service": {request("PUT", "/services/bookings/v2/Elm%2FStreet?day=6", "<b/>", "Content-Type", "text/xml"), front.Call{
			ID: "association/generated", Target: fleet.Target{Service: "bookings"}, Kind: "notice", Urgency: 2,
			Deadline: arrival.Add(20 * time.Second), Method: "PUT", Path: "/v2/Elm%2FStreet?day=6", ContentType: "text/xml", Body: []byte("<b/>"),
		}},
		"a caller can't make a service idempotent": {request("POST", "/services/bookings/b", "1", "X-Request-Kind", "question"), front.Call{
			ID: "association/generated", Target: fleet.Target{Service: "bookings"}, Kind: "question", Urgency: 5,
			Deadline: arrival.Add(8 * time.Second), Path: "/b", Body: []byte("1"),
		}},
		"service with event stream": {request("GET", "/services/banners/", "", "Accept", "text/event-stream", "Content-Type", ""), front.Call{
			ID: "association/generated", Target: fleet.Target{Service: "banners"}, Kind: "question", Urgency: 5, Idempotent: true,
			Deadline: arrival.Add(8 * time.Second), Method: "GET", Path: "/", ContentType: "-", Stream: true, Body: []byte{},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			res, got := serve(t, tt.r)
			require.Equal(t, http.StatusOK, res.StatusCode)
			require.NotEmpty(t, res.Header.Get("X-Request-Id"))
			want := tt.want
			want.Member = fleet.MemberID(valueOr(string(want.Member), "association"))
			want.Method = valueOr(want.Method, "POST")
			want.ContentType = strings.TrimPrefix(valueOr(want.ContentType, "application/json"), "-")
			require.Equal(t, want, *got)
		})
	}
}

// valueOr returns value, or fallback if it is empty.
func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// TestBadInput checks the status, code and detail of the refusal for each invalid request.
func TestBadInput(t *testing.T) {
	long := strings.Repeat("x", 5<<20)
	tests := map[string]struct {
		r      *http.Request
		status int
		code   fleet.Code
		detail string
	}{
		"no key":                     {request("POST", chatPath, validBody, "Authorization", ""), 401, fleet.CodeBadKey, "Authorization"},
		"unknown key":                {request("POST", chatPath, validBody, "Authorization", "Bearer nope"), 401, fleet.CodeBadKey, "Authorization"},
		"other scheme":               {request("POST", chatPath, validBody, "Authorization", "Basic key-a"), 401, fleet.CodeBadKey, "Authorization"},
		"too large":                  {request("POST", chatPath, `{"model":"`+long+`"}`), 413, fleet.CodeTooLarge, "4194304 bytes"},
		"too large, no length":       {withoutLength(request("POST", chatPath, `{"model":"`+long+`"}`)), 413, fleet.CodeTooLarge, "4194304 bytes"},
		"wrong media type":           {request("POST", chatPath, validBody, "Content-Type", "text/plain"), 415, fleet.CodeUnsupportedMedia, "Content-Type"},
		"no media type":              {request("POST", chatPath, validBody, "Content-Type", ""), 415, fleet.CodeUnsupportedMedia, "Content-Type"},
		"compressed":                 {request("POST", chatPath, validBody, "Content-Encoding", "gzip"), 415, fleet.CodeUnsupportedMedia, "Content-Encoding"},
		"compressed to service":      {request("POST", "/services/bookings/b", "1", "Content-Encoding", "gzip"), 415, fleet.CodeUnsupportedMedia, "Content-Encoding"},
		"empty body":                 {request("POST", chatPath, ""), 400, fleet.CodeBadRequest, "line 1, column 1"},
		"truncated body":             {request("POST", chatPath, "{\"model\":\n\"notices\""), 400, fleet.CodeBadRequest, "line 2, column 9"},
		"bad JSON":                   {request("POST", chatPath, "{\"model\": \"notices\",\n  \"messages\": [tru]}"), 400, fleet.CodeBadRequest, "line 2, column 19"},
		"two values":                 {request("POST", chatPath, validBody+validBody), 400, fleet.CodeBadRequest, "not JSON"},
		"list":                       {request("POST", chatPath, `[1]`), 400, fleet.CodeBadRequest, "not a JSON object"},
		"not UTF-8":                  {request("POST", chatPath, "{\"model\": \"notices\xff\"}"), 400, fleet.CodeBadRequest, "line 1, column 19"},
		"model missing":              {request("POST", chatPath, `{"messages": []}`), 400, fleet.CodeBadRequest, `field "model"`},
		"model null":                 {request("POST", chatPath, `{"model": null}`), 400, fleet.CodeBadRequest, `field "model"`},
		"model is a number":          {request("POST", chatPath, `{"model": 1}`), 400, fleet.CodeBadRequest, `field "model": want a text`},
		"model twice":                {request("POST", chatPath, `{"model": "notices", "model": "secret"}`), 400, fleet.CodeBadRequest, "twice"},
		"model in other letter case": {request("POST", chatPath, `{"model": "notices", "Model": "secret"}`), 400, fleet.CodeBadRequest, `field "Model": want "model"`},
		"empty version":              {request("POST", chatPath, `{"model": "notices@"}`), 400, fleet.CodeBadRequest, `field "model"`},
		"empty adapter":              {request("POST", chatPath, `{"model": "notices:"}`), 400, fleet.CodeBadRequest, `field "model"`},
		"stream is a string":         {request("POST", chatPath, `{"model": "notices", "stream": "yes"}`), 400, fleet.CodeBadRequest, `"stream"`},
		"max_tokens is a fraction":   {request("POST", chatPath, `{"model": "notices", "max_tokens": 1.5}`), 400, fleet.CodeBadRequest, `"max_tokens"`},
		"max_tokens is negative":     {request("POST", chatPath, `{"model": "notices", "max_tokens": -1}`), 400, fleet.CodeBadRequest, `"max_tokens"`},
		"unknown model":              {request("POST", chatPath, `{"model": "nothing"}`), 404, fleet.CodeUnknownModel, "nothing"},
		"unknown version":            {request("POST", chatPath, `{"model": "notices@v2"}`), 404, fleet.CodeUnknownModel, "notices@v2"},
		"unknown adapter":            {request("POST", chatPath, `{"model": "notices:york"}`), 404, fleet.CodeUnknownModel, "notices:york"},
		"no right":                   {request("POST", chatPath, `{"model": "secret"}`), 403, fleet.CodeNoRight, "secret"},
		"no right to version":        {request("POST", chatPath, `{"model": "notices@v9"}`, "Authorization", "Bearer key-g"), 403, fleet.CodeNoRight, "v9"},
		"no right to adapter":        {request("POST", chatPath, `{"model": "notices:leicester"}`, "Authorization", "Bearer key-g"), 403, fleet.CodeNoRight, "leicester"},
		"unknown service":            {request("GET", "/services/none/x", ""), 404, fleet.CodeUnknownService, "none"},
		"no right to service":        {request("GET", "/services/ledger/x", ""), 403, fleet.CodeNoRight, "ledger"},
		"path with dot segments":     {request("GET", "/services/bookings/%2e%2e/admin", ""), 400, fleet.CodeBadRequest, ".."},
		"unknown kind":               {request("POST", chatPath, validBody, "X-Request-Kind", "whim"), 400, fleet.CodeUnknownKind, "whim"},
		"no kind":                    {request("POST", chatPath, `{"model": "answers"}`), 400, fleet.CodeUnknownKind, "X-Request-Kind"},
		"patience zero":              {request("POST", chatPath, validBody, "X-Patience-Ms", "0"), 400, fleet.CodeBadPatience, "X-Patience-Ms"},
		"patience negative":          {request("POST", chatPath, validBody, "X-Patience-Ms", "-5"), 400, fleet.CodeBadPatience, "X-Patience-Ms"},
		"patience too long":          {request("POST", chatPath, validBody, "X-Patience-Ms", "63072000000"), 400, fleet.CodeBadPatience, "X-Patience-Ms"},
		"patience overflows":         {request("POST", chatPath, validBody, "X-Patience-Ms", "9223372036854775808"), 400, fleet.CodeBadPatience, "X-Patience-Ms"},
		"patience not a number":      {request("POST", chatPath, validBody, "X-Patience-Ms", "1s"), 400, fleet.CodeBadPatience, "X-Patience-Ms"},
		"invalid request ID":         {request("POST", chatPath, validBody, "X-Request-Id", "a/b"), 400, fleet.CodeBadRequest, "X-Request-Id"},
		"long request ID":            {request("POST", chatPath, validBody, "X-Request-Id", long[:65]), 400, fleet.CodeBadRequest, "X-Request-Id"},
		"long idempotency key":       {request("POST", chatPath, validBody, "Idempotency-Key", long[:256]), 400, fleet.CodeBadRequest, "Idempotency-Key"},
		"idempotency key with space": {request("POST", chatPath, validBody, "Idempotency-Key", "a b"), 400, fleet.CodeBadRequest, "Idempotency-Key"},
		"wrong method":               {request("GET", chatPath, ""), 405, fleet.CodeMethodNotAllowed, "POST"},
		"unknown path":               {request("GET", "/v2/chat", ""), 404, fleet.CodeUnknownPath, "/v2/chat"},
		"HTTP/1.0":                   {asHTTP10(request("POST", chatPath, validBody)), 505, fleet.CodeUnsupportedProtocol, "HTTP/1.1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			res, call := serve(t, tt.r)
			require.Nil(t, call)
			p := readProblem(t, res)
			require.Equal(t, tt.status, p.Status, p.Detail)
			require.Equal(t, tt.code, p.Code)
			require.Contains(t, p.Detail, tt.detail)
			require.Equal(t, fleet.NotRunTrue, p.NotRun)
			require.Equal(t, res.Header.Get("X-Request-Id"), p.RequestID)
			require.NotEmpty(t, p.RequestID)
		})
	}
}

// withoutLength makes the length of the request body unknown, as with chunked encoding.
func withoutLength(r *http.Request) *http.Request {
	r.ContentLength = -1
	r.Body = io.NopCloser(r.Body)
	return r
}

// asHTTP10 changes the protocol of the request to HTTP/1.0.
func asHTTP10(r *http.Request) *http.Request {
	r.Proto, r.ProtoMinor = "HTTP/1.0", 0
	return r
}

// TestRefusals checks the status and the headers of the response for each error of the
// dispatcher.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		err        error
		status     int
		notRun     fleet.NotRun
		retryAfter string
	}{
		"overloaded":                {refusal(fleet.CodeOverloaded, "true", arrival.Add(1500*time.Millisecond)), 503, "true", "2"},
		"retry time in the past":    {refusal(fleet.CodeNoCapacity, "true", arrival.Add(-time.Hour)), 503, "true", "1"},
		"member limit":              {refusal(fleet.CodeMemberLimit, "true", time.Time{}), 429, "true", ""},
		"outcome unknown":           {refusal(fleet.CodeOutcomeUnknown, "unknown", time.Time{}), 504, "unknown", ""},
		"deadline before start":     {refusal(fleet.CodeDeadlineExceeded, "true", time.Time{}), 503, "true", ""},
		"deadline, outcome unknown": {refusal(fleet.CodeDeadlineExceeded, "unknown", time.Time{}), 504, "unknown", ""},
		"already ran":               {refusal(fleet.CodeAlreadyRan, "false", time.Time{}), 409, "false", ""},
		"engine failed":             {refusal(fleet.CodeEngineFailed, "false", time.Time{}), 502, "false", ""},
		"key reused":                {refusal(fleet.CodeIdempotencyKeyReused, "true", time.Time{}), 422, "true", ""},
		"not-run not set":           {refusal(fleet.CodeOverloaded, "", time.Time{}), 504, "unknown", ""},
		"wrapped refusal":           {fmt.Errorf("route: %w", refusal(fleet.CodeDraining, "true", time.Time{})), 503, "true", ""},
		"other error":               {io.ErrUnexpectedEOF, 504, "unknown", ""},
		"no response":               {nil, 504, "unknown", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFront(func(context.Context, *front.Call, front.Sink) error { return tt.err })
			w := httptest.NewRecorder()
			f.ServeHTTP(w, request("POST", chatPath, validBody))
			p := readProblem(t, w.Result())
			require.Equal(t, tt.status, p.Status)
			require.Equal(t, tt.notRun, p.NotRun)
			require.Equal(t, tt.retryAfter, w.Header().Get("Retry-After"))
		})
	}
}

// refusal returns a dispatcher's error with the given code.
func refusal(code fleet.Code, notRun fleet.NotRun, retryAt time.Time) error {
	return &front.RefusedError{Refusal: fleet.Refusal{Code: code, NotRun: notRun, RetryAt: retryAt}}
}

// TestModels checks that each member gets the list of the models that it may use.
func TestModels(t *testing.T) {
	tests := map[string]struct {
		key  string
		want []string
	}{
		"association": {"key-a", []string{
			"answers@1", "notices@v1", "notices@v10", "notices@v1:derby", "notices@v1:leicester", "notices@v9", "notices@v9:derby",
		}},
		"guest": {"key-g", []string{"notices@v1", "notices@v1:derby"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			res, _ := serve(t, request("GET", "/v1/models", "", "Authorization", "Bearer "+tt.key))
			var list front.ModelList
			require.NoError(t, json.NewDecoder(res.Body).Decode(&list))
			var got []string
			for _, item := range list.Data {
				got = append(got, item.ID)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestHealth checks the readiness of a front that drains, has no records or whose process is not
// ready, and that it stays healthy.
func TestHealth(t *testing.T) {
	tests := map[string]struct {
		change func(*front.Options)
		drain  bool
		status int
	}{
		"ready":      {func(*front.Options) {}, false, 200},
		"draining":   {func(*front.Options) {}, true, 503},
		"no records": {func(o *front.Options) { o.Records = staticRecords{} }, false, 503},
		"not ready":  {func(o *front.Options) { o.Readiness = neverReady{} }, false, 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFront(answerOK, tt.change)
			if tt.drain {
				f.Drain()
			}
			for path, status := range map[string]int{"/healthz": 200, "/readyz": tt.status} {
				w := httptest.NewRecorder()
				f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
				require.Equal(t, status, w.Code, path)
				require.Equal(t, tt.drain, w.Header().Get("Connection") == "close")
			}
		})
	}
}

// neverReady is a front.Readiness that is not ready.
type neverReady struct{}

func (neverReady) Ready() error { return io.ErrClosedPipe }

// TestNoRecordsYet checks that calls are refused with a retry delay before the first records.
func TestNoRecordsYet(t *testing.T) {
	f := newFront(answerOK, func(o *front.Options) { o.Records = staticRecords{} })
	w := httptest.NewRecorder()
	f.ServeHTTP(w, request("POST", chatPath, validBody))
	p := readProblem(t, w.Result())
	require.Equal(t, fleet.CodeStarting, p.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
}

// fieldsOf returns the top-level fields of a JSON object.
func fieldsOf(t *testing.T, body []byte) map[string]json.RawMessage {
	t.Helper()
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(body, &fields))
	return fields
}

// mutableRecords is a configuration that a test can replace.
type mutableRecords struct{ config *record.Config }

func (c *mutableRecords) Current() *record.Config { return c.config }

// TestNewRecords checks that a changed configuration applies to the next call.
func TestNewRecords(t *testing.T) {
	current := &mutableRecords{config: testRecords()}
	f := newFront(answerOK, func(o *front.Options) { o.Records = current })
	statusFor := func(key string) int {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, request("POST", chatPath, validBody, "Authorization", "Bearer "+key))
		return w.Code
	}
	require.Equal(t, http.StatusOK, statusFor("key-a"))
	require.Equal(t, http.StatusUnauthorized, statusFor("key-new"))
	next := testRecords()
	member := next.Members["association"]
	member.KeyHashes = []string{hashOf("key-new")}
	next.Members["association"] = member
	current.config = next
	require.Equal(t, http.StatusUnauthorized, statusFor("key-a"))
	require.Equal(t, http.StatusOK, statusFor("key-new"))
}

// TestSharedKey checks that a key that two members have in common is refused.
func TestSharedKey(t *testing.T) {
	config := testRecords()
	guest := config.Members["guest"]
	guest.KeyHashes = append(guest.KeyHashes, hashOf("key-a"))
	config.Members["guest"] = guest
	f := newFront(answerOK, func(o *front.Options) { o.Records = staticRecords{config: config} })
	w := httptest.NewRecorder()
	f.ServeHTTP(w, request("POST", chatPath, validBody))
	require.Equal(t, http.StatusUnauthorized, w.Code)
}

// TestLimits checks that a call beyond the limits is refused, and that the resources of ended
// calls are released.
func TestLimits(t *testing.T) {
	tests := map[string]struct {
		limit func(*front.Limits)
		// inner is sent while another call is in progress, and is refused.
		inner *http.Request
	}{
		"calls":             {func(l *front.Limits) { l.MaxCalls = 1 }, request("POST", chatPath, validBody)},
		"bodies":            {func(l *front.Limits) { l.MaxTotalBody = 150 }, request("POST", chatPath, validBody)},
		"bodies, no length": {func(l *front.Limits) { l.MaxTotalBody = l.MaxBody + 50 }, withoutLength(request("POST", chatPath, validBody))},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			var f *front.Front
			inner := httptest.NewRecorder()
			f = newFront(func(ctx context.Context, call *front.Call, out front.Sink) error {
				f.ServeHTTP(inner, tt.inner)
				return answerOK(ctx, call, out)
			}, func(o *front.Options) {
				o.Limits = front.DefaultLimits()
				tt.limit(&o.Limits)
				o.Metrics = registry
			})
			for range 2 {
				outer := httptest.NewRecorder()
				f.ServeHTTP(outer, request("POST", chatPath, validBody))
				require.Equal(t, http.StatusOK, outer.Code)
			}
			require.Equal(t, fleet.CodeOverloaded, readProblem(t, inner.Result()).Code)
			require.Equal(t, "1", inner.Header().Get("Retry-After"))
			require.Zero(t, f.RunningCalls())
			for name, want := range map[string]int64{"calls": 4, "answered": 2, "refused": 2, "refused.overloaded": 2} {
				require.Equal(t, want, metrics.GetOrRegisterCounter("front."+name, registry).Count(), name)
			}
		})
	}
}

// TestDocument checks that the OpenAPI document contains all paths.
func TestDocument(t *testing.T) {
	w := httptest.NewRecorder()
	newFront(answerOK).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/openapi.json", http.NoBody))
	paths := fieldsOf(t, fieldsOf(t, w.Body.Bytes())["paths"])
	for _, path := range []string{chatPath, "/v1/completions", "/v1/models", "/services/{name}/{path}", "/healthz", "/readyz"} {
		require.Contains(t, paths, path)
	}
}
