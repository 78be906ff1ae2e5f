package relay

import "chervilreach/core/stock"

// maxPromptParts is the maximum number of remembered prompt parts.
const maxPromptParts = 8192

// promptPartKey identifies a prompt part as processed by one model or adapter.
type promptPartKey struct {
	item stock.Item
	part string
}

// promptCache records which endpoint last processed a prompt part and probably has it in
// its KV cache. When newer is full, the parts in older are forgotten.
type promptCache struct {
	newer, older map[promptPartKey]string
}

func newPromptCache() *promptCache {
	return &promptCache{newer: make(map[promptPartKey]string), older: make(map[promptPartKey]string)}
}

// record notes that the parts of the prompt have been sent to an instance.
func (p *promptCache) record(r *request, instance string) {
	if len(p.newer)+len(r.Prefix) > maxPromptParts/2 {
		p.older, p.newer = p.newer, make(map[promptPartKey]string)
	}
	for _, part := range r.Prefix {
		p.newer[promptPartKey{r.Item, part.ID}] = instance
	}
}

// cachedTokens returns the endpoint that last processed the beginning of the prompt, and
// the number of prompt tokens that it has probably cached.
func (p *promptCache) cachedTokens(r *request) (instance string, tokens int) {
	for _, part := range r.Prefix {
		key := promptPartKey{r.Item, part.ID}
		endpoint, ok := p.newer[key]
		if !ok {
			endpoint = p.older[key]
		}
		if endpoint == "" || tokens > 0 && endpoint != instance {
			return instance, tokens
		}
		instance = endpoint
		tokens += part.Tokens
	}
	return instance, tokens
}
