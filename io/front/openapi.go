package front

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"

	"chervilreach/io/guard"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
)

// Paths of the callers' API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathService     = "/services/{name}/{path}"
	pathOpenAPI     = "/openapi.json"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"

	// routeService is pathService in the pattern syntax of http.ServeMux.
	routeService = "/services/{name}/{path...}"
)

// CompletionBody describes the interpreted fields of a completion request in the OpenAPI
// document. All other fields are passed to the engine.
type CompletionBody struct {
	_         struct{} `additionalProperties:"true"`
	Model     string   `json:"model" doc:"name, name@version, name:adapter or name@version:adapter"`
	Stream    bool     `json:"stream,omitempty" doc:"answer with server-sent events"`
	MaxTokens int      `json:"max_tokens,omitempty" minimum:"0"`
}

// status is the response to health and readiness checks.
type status struct {
	Status string `json:"status"`
}

// registerOperations registers all operations with the mux and the OpenAPI
// document.
func (f *Front) registerOperations() {
	config := huma.DefaultConfig("chervilreach", "1")
	config.OpenAPIPath, config.DocsPath, config.SchemasPath = "", "", ""
	config.CreateHooks = nil
	api := humago.New(f.mux, config)
	f.registerCalls(api)
	f.registerModels(api)
	f.registerHealth(api)
	f.registerDocument(api)
}

// registerCalls registers the operations that become calls. They use the http.ResponseWriter
// directly instead of huma's encoding, because responses are streamed.
func (f *Front) registerCalls(api huma.API) {
	completion := f.callHandler((*exchange).readCompletion)
	for _, path := range []string{pathChat, pathCompletions} {
		op := callOperation(api, http.MethodPost, path)
		op.RequestBody = &huma.RequestBody{Required: true, Content: map[string]*huma.MediaType{
			mediaJSON: {Schema: schemaOf[CompletionBody](api)},
		}}
		api.OpenAPI().AddOperation(op)
		api.Adapter().Handle(op, completion)
	}
	service := f.callHandler((*exchange).readService)
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	for _, method := range methods {
		op := callOperation(api, method, pathService)
		op.Parameters = append(op.Parameters,
			&huma.Param{Name: "name", In: "path", Required: true, Schema: &huma.Schema{Type: huma.TypeString}},
			&huma.Param{Name: "path", In: "path", Required: true, Schema: &huma.Schema{Type: huma.TypeString}})
		api.OpenAPI().AddOperation(op)
		api.Adapter().Handle(&huma.Operation{Method: method, Path: routeService}, service)
	}
}

// callOperation returns an operation with the headers and responses that all calls share.
func callOperation(api huma.API, method, path string) *huma.Operation {
	header := func(name, doc string) *huma.Param {
		return &huma.Param{Name: name, In: "header", Description: doc, Schema: &huma.Schema{Type: huma.TypeString}}
	}
	return &huma.Operation{
		OperationID: huma.GenerateOperationID(method, path, struct{}{}),
		Method:      method,
		Path:        path,
		Parameters: []*huma.Param{
			header("Authorization", "Bearer and the member's key"),
			header(headerRequestID, "the caller's name for the request, returned with the answer"),
			header(headerRequestKind, "kind of request; by default that of the model or service"),
			header(headerPatience, "milliseconds until the answer must have begun; can only shorten"),
			header(headerIdempotencyKey, "runs at most once for all requests with the same key"),
		},
		Responses: map[string]*huma.Response{
			"200":     {Description: "The answer of the engine or service."},
			"default": {Description: "A refusal.", Content: map[string]*huma.MediaType{problemType: {Schema: schemaOf[Problem](api)}}},
		},
	}
}

// schemaOf registers the schema of T in the OpenAPI document and returns a reference to it.
func schemaOf[T any](api huma.API) *huma.Schema {
	return api.OpenAPI().Components.Schemas.Schema(reflect.TypeFor[T](), true, "")
}

// registerModels registers the operation that lists the models a member may use.
func (f *Front) registerModels(api huma.API) {
	op := callOperation(api, http.MethodGet, pathModels)
	op.Responses["200"].Content = map[string]*huma.MediaType{mediaJSON: {Schema: schemaOf[ModelList](api)}}
	api.OpenAPI().AddOperation(op)
	api.Adapter().Handle(op, func(ctx huma.Context) {
		r, w := humago.Unwrap(ctx)
		x := f.newExchange(w, r)
		if err := x.authenticate(); err != nil {
			x.writeRefusal(err)
			return
		}
		guard.End(w, guard.Answered)
		x.extendWriteDeadline()
		w.Header().Set("Content-Type", mediaJSON)
		_ = json.NewEncoder(w).Encode(x.index.listModels(x.member))
	})
}

// registerHealth registers the health and readiness checks for the platform's load balancer.
func (f *Front) registerHealth(api huma.API) {
	type output struct{ Body status }
	api.UseMiddleware(func(ctx huma.Context, next func(huma.Context)) {
		next(ctx)
		_, w := humago.Unwrap(ctx)
		guard.End(w, guard.Answered)
	})
	huma.Get(api, pathHealth, func(context.Context, *struct{}) (*output, error) {
		return &output{Body: status{Status: "ok"}}, nil
	})
	huma.Get(api, pathReady, func(context.Context, *struct{}) (*output, error) {
		if err := f.Ready(); err != nil {
			return nil, huma.Error503ServiceUnavailable(err.Error())
		}
		return &output{Body: status{Status: "ready"}}, nil
	})
}

// registerDocument registers the OpenAPI document, which is encoded once at startup. It
// must be called after all other operations are registered.
func (f *Front) registerDocument(api huma.API) {
	document, err := json.Marshal(api.OpenAPI())
	if err != nil {
		panic("front: OpenAPI document: " + err.Error())
	}
	api.Adapter().Handle(&huma.Operation{Method: http.MethodGet, Path: pathOpenAPI}, func(ctx huma.Context) {
		_, w := humago.Unwrap(ctx)
		guard.End(w, guard.Answered)
		ctx.SetHeader("Content-Type", "application/openapi+json")
		_, _ = ctx.BodyWriter().Write(document)
	})
}
