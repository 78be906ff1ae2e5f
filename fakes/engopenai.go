package fakes

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chervilreach/io/engine"
)

// completion is a response in the format of OpenAI's API, or one chunk of it.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// token returns the ith token of the answer. Tokens depend only on the prompt, so that
// tests can recognize an answer that belongs to another request.
func (s *stream) token(i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], s.seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	return " " + answerVocabulary[xxhash.Sum64(key[:])%uint64(len(answerVocabulary))]
}

// tokenChunk returns the ith token as a server-sent event.
func (s *stream) tokenChunk(i int) []byte {
	part := choice{Text: s.token(i)}
	object := "text_completion"
	if s.path == engine.PathChatCompletions {
		part = choice{Delta: &chatMessage{Content: s.token(i)}}
		object = "chat.completion.chunk"
	}
	if i == s.answerTokens-1 {
		part.FinishReason = "stop"
	}
	raw, _ := json.Marshal(completion{
		ID: string(s.id), Object: object, Model: string(s.target.Model), Choices: []choice{part},
	})
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i, raw)
}

// lastChunk returns the end mark of a streamed answer, or the whole response body of one
// that is not streamed.
func (s *stream) lastChunk() []byte {
	if !s.unstreamed {
		return fmt.Appendf(nil, "id: %d\ndata: [DONE]\n\n", s.answerTokens)
	}
	var text strings.Builder
	for i := range s.answerTokens {
		text.WriteString(s.token(i))
	}
	answer := completion{
		ID: string(s.id), Object: "text_completion", Model: string(s.target.Model),
		Choices: []choice{{Text: text.String(), FinishReason: "stop"}},
		Usage: &usage{
			PromptTokens: len(s.promptWords), CompletionTokens: s.answerTokens, TotalTokens: len(s.promptWords) + s.answerTokens,
		},
	}
	if s.path == engine.PathChatCompletions {
		answer.Object = "chat.completion"
		answer.Choices[0].Text = ""
		answer.Choices[0].Message = &chatMessage{Role: "assistant", Content: text.String()}
	}
	raw, _ := json.Marshal(answer)
	return raw
}

// answerWriter writes the chunks of a stream to one connection. events is nil if the answer
// is not streamed.
type answerWriter struct {
	events *eventWriter
	w      http.ResponseWriter
}

// newAnswerWriter returns a writer for the answer and sends the response header if the answer
// is streamed. Otherwise the header is sent with the body, as it contains the length.
func newAnswerWriter(w http.ResponseWriter, s *stream) *answerWriter {
	if s.unstreamed {
		return &answerWriter{w: w}
	}
	return &answerWriter{w: w, events: newEventWriter(w)}
}

// writeChunk sends a chunk, which is the whole body if the answer is not streamed.
func (out *answerWriter) writeChunk(chunk []byte) {
	if out.events != nil {
		out.events.write(chunk)
		return
	}
	out.w.Header().Set("Content-Type", "application/json")
	out.w.Header().Set("Content-Length", strconv.Itoa(len(chunk)))
	_, _ = out.w.Write(chunk)
}

// writeKeepAlive sends a keep-alive comment if the answer is streamed.
func (out *answerWriter) writeKeepAlive() {
	if out.events != nil {
		out.events.writeKeepAlive()
	}
}
