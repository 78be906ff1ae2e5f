package relay

import "chervilreach/core/stock"

// maxPromptParts is the maximum number of remembered prompt parts.
const maxPromptParts = 8192

// promptPartKey identifies a prompt part as processed by one model or adapter.
type promptPartKey struct {
	item stock.Item
	part string
}

// promptIndex records which endpoint last processed a prompt part and probably has it in
// its KV cache. When newer holds half of maxPromptParts, it replaces older, whose parts are
// forgotten.
type promptIndex struct {
	newer, older map[promptPartKey]string
}

func newPromptIndex() *promptIndex {
	return &promptIndex{newer: make(map[promptPartKey]string), older: make(map[promptPartKey]string)}
}

// addParts notes that the parts of the prompt have been sent to an instance.
func (p *promptIndex) addParts(r *request, instance string) {
	if len(p.newer)+len(r.Prefix) > maxPromptParts/2 {
		p.older, p.newer = p.newer, make(map[promptPartKey]string)
	}
	for _, part := range r.Prefix {
		p.newer[promptPartKey{r.Item, part.ID}] = instance
	}
}

// cachedTokens returns the endpoint that last processed the beginning of the prompt, and
// the number of prompt tokens that it has probably cached.
func (p *promptIndex) cachedTokens(r *request) (instance string, tokens int) {
	for _, part := range r.Prefix {
		key := promptPartKey{r.Item, part.ID}
		id, ok := p.newer[key]
		if !ok {
			id = p.older[key]
		}
		if id == "" || tokens > 0 && id != instance {
			return instance, tokens
		}
		instance = id
		tokens += part.Tokens
	}
	return instance, tokens
}
