package relay

import (
	"chervilreach/core/aging"
	"chervilreach/core/stock"
)

// maxPromptParts is the maximum number of remembered prompt parts.
const maxPromptParts = 8192

// promptPartKey identifies a prompt part as processed by one model or adapter.
type promptPartKey struct {
	item stock.Item
	part string
}

// promptIndex records which endpoint last processed a prompt part and probably has it in
// its KV cache.
type promptIndex struct {
	instances *aging.Map[promptPartKey, string]
}

func newPromptIndex() *promptIndex {
	return &promptIndex{instances: aging.New[promptPartKey, string](maxPromptParts)}
}

// addParts notes that the parts of the prompt have been sent to an instance.
func (p *promptIndex) addParts(r *request, instance string) {
	p.instances.Reserve(len(r.Prefix))
	for _, part := range r.Prefix {
		p.instances.Put(promptPartKey{r.Item, part.ID}, instance)
	}
}

// cachedTokens returns the endpoint that last processed the beginning of the prompt, and
// the number of prompt tokens that it has probably cached.
func (p *promptIndex) cachedTokens(r *request) (instance string, tokens int) {
	for _, part := range r.Prefix {
		id, _ := p.instances.Get(promptPartKey{r.Item, part.ID})
		if id == "" || tokens > 0 && id != instance {
			return instance, tokens
		}
		instance = id
		tokens += part.Tokens
	}
	return instance, tokens
}
