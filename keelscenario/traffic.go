package keelscenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelload"
	"github.com/greengagekeel/greengagekeel/keelstandin"
)

func (c *cluster) load(name string) *load {
	l := c.loads[name]
	if l == nil {
		c.fatalf("load %q was not started", name)
	}
	return l
}

// cmdLoad starts a load in the background. Its callers look up at all running
// instances, unless the option at= names instances or proxies to send to without a
// look-up.
func cmdLoad(c *cluster, args []string) {
	cfg := keelload.Config{Spec: keelload.Spec{Name: args[0], Service: keel.ServiceName(args[1])}}
	for _, in := range c.running() {
		cfg.Entries = append(cfg.Entries, in.listen.Caller)
	}
	for k, v := range c.options(args[2:]) {
		c.loadOption(&cfg, k, v)
	}
	l := &load{Load: keelload.New(cfg), stop: make(chan struct{}), done: make(chan struct{})}
	c.loads[args[0]] = l
	c.group.Go(func() { l.run(c) })
}

func (l *load) run(c *cluster) {
	defer close(l.done)
	l.Run(c.ctx, l.stop)
}

// stopAndWait stops sending and waits until the requests in flight have ended.
func (l *load) stopAndWait() {
	if !l.stopped {
		l.stopped = true
		close(l.stop)
	}
	<-l.done
}

func (c *cluster) loadOption(cfg *keelload.Config, key, value string) {
	s := &cfg.Spec
	switch key {
	case "method":
		s.Method = value
	case "path":
		s.Path = value
	case "answer":
		s.AnswerBytes = int64(c.number(value))
	case "body":
		s.RequestBytes = c.number(value)
	case "n":
		s.Requests = c.number(value)
	case "callers":
		s.Callers = c.number(value)
	case "sends":
		s.Sends = c.number(value)
	case "delay":
		s.Delay = c.duration(value)
	case "pace":
		s.Pace = c.duration(value)
	case "timeout":
		s.Timeout = c.duration(value)
	case "keyed":
		s.Keyed, s.Tickets = true, value == "ticket"
	case "chunked":
		s.Chunked = value == "true"
	case "at":
		cfg.Direct, cfg.Entries = true, c.callerAddresses(value)
	default:
		c.fatalf("load has no option %q", key)
	}
}

// callerAddresses returns the addresses to which callers send for a list of
// proxies and instances, separated by commas.
func (c *cluster) callerAddresses(names string) []netip.AddrPort {
	var out []netip.AddrPort
	for name := range strings.SplitSeq(names, ",") {
		if p := c.proxies[name]; p != nil {
			out = append(out, p.addr())
			continue
		}
		out = append(out, c.instance(name).listen.Caller)
	}
	return out
}

func (c *cluster) number(s string) int {
	n, err := strconv.Atoi(s)
	c.check(err)
	return n
}

func (c *cluster) duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	c.check(err)
	return d
}

func cmdLoadStop(c *cluster, args []string) { c.load(args[0]).stopAndWait() }

// cmdLoadWait waits, without a time limit, until all requests of a load have ended.
func cmdLoadWait(c *cluster, args []string) { <-c.load(args[0]).done }

// cmdProgress waits until the given number of further requests of a load have
// ended.
func cmdProgress(c *cluster, args []string) {
	l := c.load(args[0])
	want := l.Tally().Requests + c.number(args[1])
	c.until("progress of load "+args[0], func() (bool, string) {
		t := l.Tally()
		return t.Requests >= want, fmt.Sprintf("%d of %d requests, %v", t.Requests, want, t.Details)
	})
}

// cmdTally checks the current tally of a load against a condition.
func cmdTally(c *cluster, args []string) {
	t := c.load(args[0]).Tally()
	doc, err := json.Marshal(t)
	c.check(err)
	q := parseCondition(args[1:])
	ok, _, err := q.holds(doc)
	c.check(err)
	if !ok {
		c.fatalf("load %s: want %s, have %s", args[0], q, doc)
	}
}

// cmdVerify compares the answers and verdicts that callers of a load received
// with the counts of the endpoints, and fails on a contradiction or a wrong
// answer.
func cmdVerify(c *cluster, args []string) {
	l := c.load(args[0])
	var all []keelstandin.Counts
	for _, e := range c.endpoints {
		counts, _ := c.counts(e)
		all = append(all, counts)
	}
	bad := l.Verify(all)
	t := l.Tally()
	c.ts.Logf("load %s: %d requests, %d answered, %d not run, %d may have run, %d ran, %d lost, %d wrong",
		args[0], t.Requests, t.Answered, t.NotRun, t.MayHaveRun, t.Ran, t.Lost, t.Wrong)
	if t.Wrong > 0 {
		bad = append(bad, fmt.Sprintf("%d answers were wrong: %v", t.Wrong, t.Details))
	}
	if len(bad) > 0 {
		c.fatalf("%s", strings.Join(bad, "\n"))
	}
}

// cmdRequest sends a request to the caller port of an instance, and prints the
// answer.
func cmdRequest(c *cluster, args []string) {
	in := c.instance(args[0])
	req, err := http.NewRequestWithContext(c.ctx, args[1], "http://"+in.listen.Caller.String()+args[2], http.NoBody)
	c.check(err)
	for k, v := range c.options(args[3:]) {
		req.Header.Set(k, v)
	}
	c.sendAndPrint(req)
}

// cmdPost posts a JSON body to an address, and prints the answer.
func cmdPost(c *cluster, args []string) {
	body := strings.NewReader(strings.Join(args[2:], " "))
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+args[0]+args[1], body)
	c.check(err)
	req.Header.Set("Content-Type", "application/json")
	c.sendAndPrint(req)
}

// sendAndPrint sends a request and prints the status, the header and the body.
func (c *cluster) sendAndPrint(req *http.Request) {
	resp, err := http.DefaultClient.Do(req)
	c.check(err)
	defer func() { _ = resp.Body.Close() }()
	out := c.ts.Stdout()
	fmt.Fprintf(out, "%s\n", resp.Status)
	_ = resp.Header.Write(out)
	_, err = io.Copy(out, io.LimitReader(resp.Body, maxPrintedBytes))
	c.check(err)
}

// maxPrintedBytes limits how much of the body of an answer is printed.
const maxPrintedBytes = 4 << 10
