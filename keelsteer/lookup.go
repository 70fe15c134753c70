package keelsteer

import (
	"encoding/json"
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keellookup"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelroute"
	"github.com/valyala/fasthttp"
)

// LookupAnswer is the JSON answer to a look-up.
type LookupAnswer struct {
	Service keel.ServiceName `json:"service"`
	// Instances lists the instances to use, the best first.
	Instances []LookupInstance `json:"instances"`
	// ExpiresIn is how long the answer may be used.
	ExpiresIn keel.Duration `json:"expires_in"`
	// ExpiresAt is when the answer expires, by the clock of the answering
	// instance.
	ExpiresAt time.Time `json:"expires_at"`
	// Ticket may be used as the key of one at-most-once request.
	Ticket string `json:"ticket"`
}

// Check reports a fault if the answer has no instances.
func (a *LookupAnswer) Check() keel.Faults {
	var fs keel.Faults
	if len(a.Instances) == 0 {
		fs.Add("instances", "must not be empty")
	}
	return fs
}

// LookupInstance is one instance in the answer to a look-up.
type LookupInstance struct {
	Name    keel.InstanceName `json:"name"`
	Domain  keel.DomainName   `json:"domain"`
	Address netip.AddrPort    `json:"address"`
}

// LookupResult describes how a look-up was answered.
type LookupResult struct {
	Service keel.ServiceName
	Status  int
	// Refusal is nil if the look-up was answered.
	Refusal *keel.Refusal
}

// Reason returns the reason of the refusal, or "" if the look-up was answered.
func (r LookupResult) Reason() keel.Reason {
	if r.Refusal == nil {
		return ""
	}
	return r.Refusal.Reason
}

// HandleLookup answers GET /v1/lookup?service=NAME. The optional parameters
// path and method describe the request that the caller is about to send.
func (e *Engine) HandleLookup(fctx *fasthttp.RequestCtx) {
	args := fctx.QueryArgs()
	r := &keelproxy.Request{
		Service: keel.ServiceName(args.Peek("service")),
		Method:  stringOr(args.Peek("method"), fasthttp.MethodGet),
		URI:     stringOr(args.Peek("path"), "/"),
		Caller:  keelproxy.CallerAddr(fctx),
	}
	refusal := e.answerLookup(fctx, r)
	if e.cfg.OnLookup != nil {
		e.cfg.OnLookup(LookupResult{Service: r.Service, Status: fctx.Response.StatusCode(), Refusal: refusal})
	}
}

// answerLookup writes the answer or a refusal and returns the refusal, if any.
func (e *Engine) answerLookup(fctx *fasthttp.RequestCtx, r *keelproxy.Request) *keel.Refusal {
	if !fctx.IsGet() && !fctx.IsHead() {
		fctx.Error("", fasthttp.StatusMethodNotAllowed)
		fctx.Response.Header.Set("Allow", "GET, HEAD") // Error clears the header
		return keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "method %q is not allowed for a look-up", fctx.Method())
	}
	refusal := checkLookup(r)
	var answer *LookupAnswer
	if refusal == nil {
		answer, refusal = e.lookUp(r)
	}
	if refusal != nil {
		keelproxy.WriteRefusal(fctx, refusal)
		return refusal
	}
	body, err := json.Marshal(answer)
	if err != nil {
		fctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return nil
	}
	fctx.SetContentType("application/json")
	fctx.SetBody(body)
	return nil
}

func checkLookup(r *keelproxy.Request) *keel.Refusal {
	fs := keel.CheckName("service", r.Service)
	if len(fs) == 0 {
		return nil
	}
	return keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "query parameter %v", fs)
}

func stringOr(b []byte, byDefault string) string {
	if len(b) == 0 {
		return byDefault
	}
	return string(b)
}

// lookUp answers a look-up. The first look-up of a source starts its share
// vector, like a first request.
func (e *Engine) lookUp(r *keelproxy.Request) (*LookupAnswer, *keel.Refusal) {
	p := e.plan.Load()
	sel, refusal := p.selectorOf(r)
	if refusal != nil {
		return nil, refusal
	}
	now := time.Now()
	choose := func(region keel.RegionName, _ uint64) (keel.DomainName, bool) {
		return e.peek(now, p, sel, keelroute.Source{Selector: sel.Name, Region: region}, r)
	}
	a := p.lookup.Answer(keellookup.Query{Now: now, Addr: r.Caller, Service: r.Service}, choose)
	if len(a.Instances) == 0 {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, time.Second, "no live instance is known for service %q", r.Service)
	}
	out := &LookupAnswer{
		Service:   r.Service,
		ExpiresIn: keel.Duration(a.TTL),
		ExpiresAt: now.Add(a.TTL).UTC(),
		Ticket:    e.cfg.Claims.NewTicket(now),
	}
	for _, in := range a.Instances {
		out.Instances = append(out.Instances, LookupInstance{Name: in.Name, Domain: in.Domain, Address: in.Caller})
	}
	return out, nil
}

// peek returns the failure domain that a request of the caller would go to. It
// counts no request, since the cap on shift is relative to the number of
// requests.
func (e *Engine) peek(now time.Time, p *plan, sel *keel.Selector, src keelroute.Source, r *keelproxy.Request) (keel.DomainName, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.demand[src]; !known {
		e.startSource(now, p, sel, src)
	}
	return e.shares.Peek(src, keellookup.BlockKey(r.Caller))
}
