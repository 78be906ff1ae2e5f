package relay

import "chervilreach/core/stock"

// maxPrompts bounds the parts of prompts that are remembered.
const maxPrompts = 8192

// promptKey names a part of a prompt as one model has read it.
type promptKey struct {
	item stock.Item
	part string
}

// prompts remembers which endpoint has last read a part of a prompt. The older
// half is forgotten when the newer one is full.
type prompts struct {
	newer, older map[promptKey]string
}

func newPrompts() *prompts {
	return &prompts{newer: make(map[promptKey]string), older: make(map[promptKey]string)}
}

func (p *prompts) sent(r *request, instance string) {
	if len(p.newer)+len(r.Prefix) > maxPrompts/2 {
		p.older, p.newer = p.newer, make(map[promptKey]string)
	}
	for _, part := range r.Prefix {
		p.newer[promptKey{r.Item, part.ID}] = instance
	}
}

// kept returns which endpoint has read the beginning of the prompt before, and
// how many tokens up to the first part that it has not.
func (p *prompts) kept(r *request) (instance string, tokens int) {
	for _, part := range r.Prefix {
		key := promptKey{r.Item, part.ID}
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
