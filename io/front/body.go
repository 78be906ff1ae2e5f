package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"unicode/utf8"

	"chervilreach/core/fleet"
)

// Sizes that concern request bodies.
const (
	// bytesPerToken is the typical length of a token of text.
	bytesPerToken = 4
	// initialBodyBytes is the maximum buffer capacity allocated for a body before any of
	// it has been received, whatever the Content-Length header announces.
	initialBodyBytes = 64 << 10
)

// Fields of a completion request that the front interprets. All other fields are passed
// to the engine unread.
const (
	fieldModel         = "model"
	fieldStream        = "stream"
	fieldMaxTokens     = "max_tokens"
	fieldMaxCompletion = "max_completion_tokens"
)

// completionFields holds the interpreted fields of the body of a completion request.
type completionFields struct {
	model string
	// modelStart and modelEnd are the byte offsets of the value of "model" in the body.
	modelStart, modelEnd int
	stream               bool
	// maxTokens is the largest of the limits on generated tokens; 0 if there is none.
	maxTokens int
	// seenFields are the interpreted fields found so far, for the detection of duplicates.
	seenFields []string
}

// readBody reads the complete body of a request. It refuses a body that is longer than
// limit bytes or is not received before the read deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(min(r.ContentLength, initialBodyBytes)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return buf.Bytes(), nil
	case errors.As(err, &tooLarge):
		return nil, tooLargeError(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusedError(fleet.CodeBodyTimeout, "the body did not come in time")
	default:
		return nil, newRefusedError(fleet.CodeBadRequest, "the body could not be read: "+err.Error())
	}
}

// tooLargeError returns the refusal of a body that is longer than limit bytes.
func tooLargeError(limit int64) error {
	return newRefusedError(fleet.CodeTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
}

// parseCompletion parses the body of a completion request, which must be a single JSON
// object in UTF-8. The details of its errors give the position in the body or the field.
func parseCompletion(body []byte) (completionFields, error) {
	if err := checkUTF8(body); err != nil {
		return completionFields{}, err
	}
	var c completionFields
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return c, syntaxError(body)
	}
	var raw json.RawMessage
	for dec.More() {
		tok, err := dec.Token()
		name, ok := tok.(string)
		if err != nil || !ok {
			return c, syntaxError(body)
		}
		raw = raw[:0]
		if err := dec.Decode(&raw); err != nil {
			return c, syntaxError(body)
		}
		if err := c.setField(name, raw, int(dec.InputOffset())); err != nil {
			return c, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return c, syntaxError(body)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return c, syntaxError(body)
	}
	if c.model == "" {
		return c, newRefusedError(fleet.CodeBadRequest, `field "model": missing or empty`)
	}
	return c, nil
}

// setField stores the value of one field and ignores fields that are not interpreted.
// valueEnd is the offset in the body at which the value ends. A field that differs from an
// interpreted field in letter case only, or occurs twice, is refused.
func (c *completionFields) setField(name string, raw json.RawMessage, valueEnd int) error {
	known := canonicalField(name)
	if known == "" {
		return nil
	}
	if name != known {
		return newRefusedError(fleet.CodeBadRequest, "field "+quote(name)+": want "+quote(known))
	}
	for _, earlier := range c.seenFields {
		if earlier == name {
			return newRefusedError(fleet.CodeBadRequest, "field "+quote(name)+" stands twice")
		}
	}
	c.seenFields = append(c.seenFields, name)
	switch name {
	case fieldModel:
		c.modelStart, c.modelEnd = valueEnd-len(raw), valueEnd
		return decodeField(name, "a text", raw, &c.model)
	case fieldStream:
		return decodeField(name, "true or false", raw, &c.stream)
	default:
		return c.setMaxTokens(name, raw)
	}
}

// setMaxTokens applies a limit on generated tokens; the largest limit of a request is
// kept.
func (c *completionFields) setMaxTokens(name string, raw json.RawMessage) error {
	n := 0
	if err := decodeField(name, "a whole number", raw, &n); err != nil {
		return err
	}
	if n < 0 {
		return newRefusedError(fleet.CodeBadRequest, "field "+quote(name)+": want 0 or more")
	}
	c.maxTokens = max(c.maxTokens, n)
	return nil
}

// canonicalField returns the interpreted field that equals name without regard to letter
// case, or "" if there is none. Case is ignored because engines may not distinguish it.
func canonicalField(name string) string {
	for _, known := range []string{fieldModel, fieldStream, fieldMaxTokens, fieldMaxCompletion} {
		if strings.EqualFold(name, known) {
			return known
		}
	}
	return ""
}

// decodeField decodes the value of a field into dst. want describes the expected value
// in the error.
func decodeField[T any](name, want string, raw json.RawMessage, dst *T) error {
	if err := json.Unmarshal(raw, dst); err != nil {
		return newRefusedError(fleet.CodeBadRequest, "field "+quote(name)+": want "+want)
	}
	return nil
}

// replaceModel returns the body with the value of "model" replaced and all other bytes
// unchanged.
func (c *completionFields) replaceModel(body []byte, model string) ([]byte, error) {
	if model == c.model {
		return body, nil
	}
	value, err := json.Marshal(model)
	if err != nil {
		return nil, newRefusedError(fleet.CodeBadRequest, `field "model": `+err.Error())
	}
	out := make([]byte, 0, len(body)-(c.modelEnd-c.modelStart)+len(value))
	out = append(out, body[:c.modelStart]...)
	out = append(out, value...)
	return append(out, body[c.modelEnd:]...), nil
}

// estimatePromptTokens estimates the number of prompt tokens from the length of the body.
func estimatePromptTokens(body []byte) int {
	return (len(body) + bytesPerToken - 1) / bytesPerToken
}

// checkUTF8 refuses a body that is not valid UTF-8.
func checkUTF8(body []byte) error {
	if utf8.Valid(body) {
		return nil
	}
	offset := 0
	for offset < len(body) {
		r, size := utf8.DecodeRune(body[offset:])
		if r == utf8.RuneError && size == 1 {
			break
		}
		offset += size
	}
	return newRefusedError(fleet.CodeBadRequest, "the body is not UTF-8: "+position(body, offset))
}

// syntaxError returns the refusal of a body that is not a single JSON object.
func syntaxError(body []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(body, &raw)
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return newRefusedError(fleet.CodeBadRequest, "the body is not a JSON object")
	}
	offset := max(int(syntaxErr.Offset)-1, 0)
	return newRefusedError(fleet.CodeBadRequest, "the body is not JSON: "+position(body, offset)+": "+syntaxErr.Error())
}

// position returns the line and column of a byte offset in the body, both counted from 1.
func position(body []byte, offset int) string {
	before := body[:min(offset, len(body))]
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", 1+bytes.Count(before, []byte{'\n'}), column)
}

// quote quotes a value from a request for use in the detail of a refusal, truncated to
// 100 bytes.
func quote(text string) string {
	const maxBytes = 100
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return strconv.Quote(text)
}
