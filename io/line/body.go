package line

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// maxBodyDepth limits the nesting of objects and arrays in a body.
const maxBodyDepth = 64

var errTooDeep = errors.New("nested too deeply")

// leaf is a scalar in a JSON body.
type leaf struct {
	// path contains the keys of the enclosing objects, joined by dots. Arrays add
	// nothing.
	path  string
	value string
}

// walkBody calls visit for the scalars of a JSON body in their order. If the body is
// invalid, it stops at the error.
func walkBody(raw json.RawMessage, visit func(leaf)) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	_ = walkValue(dec, nil, 0, visit)
}

// walkValue visits the scalars of the next value of the decoder; path contains the keys
// of the enclosing objects.
func walkValue(dec *json.Decoder, path []string, depth int, visit func(leaf)) error {
	if depth > maxBodyDepth {
		return errTooDeep
	}
	token, err := dec.Token()
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	delim, ok := token.(json.Delim)
	if !ok {
		visit(leaf{path: strings.Join(path, "."), value: fmt.Sprint(token)})
		return nil
	}
	for dec.More() {
		inner := path
		if delim == '{' {
			key, err := dec.Token()
			if err != nil {
				return fmt.Errorf("read body: %w", err)
			}
			inner = append(path[:len(path):len(path)], fmt.Sprint(key))
		}
		if err := walkValue(dec, inner, depth+1, visit); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// omittedBody is the JSON value that replaces a body longer than Filter.MaxBodyBytes.
type omittedBody struct {
	// Bytes is the size of the omitted body.
	Bytes int `json:"cut-bytes"`
}

// limitBody returns the body or, if it is longer than limit bytes, an omittedBody as
// JSON. A limit of 0 or less means none.
func limitBody(body json.RawMessage, limit int) (json.RawMessage, error) {
	if limit <= 0 || len(body) <= limit {
		return body, nil
	}
	omitted, err := json.Marshal(omittedBody{Bytes: len(body)})
	if err != nil {
		return nil, fmt.Errorf("cut body: %w", err)
	}
	return omitted, nil
}
