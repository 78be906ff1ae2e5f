package relay

import "chervilreach/core/stock"

// maxPrompts bounds the parts of prompts that are remembered.
const maxPromptParts = 8192

// promptKey names a part of a prompt as one model has read it.
type promptPartKey struct {
	item stock.Item
	part string
}

// prompts remembers which endpoint has last read a part of a prompt. The older
// half is forgotten when the newer one is full.
type promptCache struct {
	newer, older map[promptPartKey]string
}

func newPromptCache() *promptCache {
	return &promptCache{newer: make(map[promptPartKey]string), older: make(map[promptPartKey]string)}
}

func (p *promptCache) record(r *request, instance string) {
	if len(p.newer)+len(r.Prefix) > maxPromptParts/2 {
		p.older, p.newer = p.newer, make(map[promptPartKey]string)
	}
	for _, part := range r.Prefix {
		p.newer[promptPartKey{r.Item, part.ID}] = instance
	}
}

// kept returns which endpoint has read the beginning of the prompt before, and
// how many tokens up to the first part that it has not.
func (p *promptCache) cachedTokens(r *request) (instance string, tokens int) {
	for _, part := range r.Prefix {
		key := promptPartKey{r.Item, part.ID}
		at, ok := p.newer[key]
		if !ok {
			at = p.older[key]
		}
		if at == "" || tokens > 0 && at != instance {
			return instance, tokens
		}
		instance = at
		tokens += part.Tokens
	}
	return instance, tokens
}
