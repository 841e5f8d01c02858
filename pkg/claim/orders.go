package claim

import "sync"

// Orders is what one VM knows about its requests to promote members that may still take effect. A request that got no answer may be
// carried out seconds later, and a fence token stops it only once the promotion service has seen a higher one. A token must therefore
// not name another member than a request that may still take effect and has the same token or a higher one: that request would
// undo the later promotion.
//
// The zero value knows of no request. It is safe for concurrent use.
type Orders struct {
	mu       sync.Mutex
	services map[string]map[uint64]*order // guarded by mu; by service and fence token
}

// order is the requests with one fence token that may still take effect.
type order struct {
	member   string // the one that they name
	requests int
}

// Send records a request with a fence token that names a member. end records what came of it: answered is false if the request may
// still take effect.
func (o *Orders) Send(service string, fenceToken uint64, member string) (end func(answered bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.services == nil {
		o.services = map[string]map[uint64]*order{}
	}
	if o.services[service] == nil {
		o.services[service] = map[uint64]*order{}
	}
	sent := o.services[service][fenceToken]
	if sent == nil {
		sent = &order{member: member}
		o.services[service][fenceToken] = sent
	}
	sent.requests++
	return func(answered bool) {
		if answered {
			o.end(service, fenceToken, sent)
		}
	}
}

func (o *Orders) end(service string, fenceToken uint64, sent *order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sent.requests--; sent.requests == 0 && o.services[service][fenceToken] == sent {
		delete(o.services[service], fenceToken)
	}
}

// MayName reports whether a request with the fence token may name the member.
func (o *Orders) MayName(service string, fenceToken uint64, member string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for token, sent := range o.services[service] {
		if token >= fenceToken && sent.member != member {
			return false
		}
	}
	return true
}

// Open returns the number of requests to promote members of the service that may still take effect.
func (o *Orders) Open(service string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, sent := range o.services[service] {
		n += sent.requests
	}
	return n
}

// Passed records that the promotion service has seen the fence token: requests with lower ones have no effect any more.
func (o *Orders) Passed(service string, fenceToken uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for token := range o.services[service] {
		if token < fenceToken {
			delete(o.services[service], token)
		}
	}
}
