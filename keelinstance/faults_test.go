package keelinstance_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// TestFaults injects one fault after the other into a cluster. After each of them
// no key may have run twice, no endpoint may have received a part of a request that
// was refused as not run, each answer must belong to its request, and every
// instance must serve.
func TestFaults(t *testing.T) {
	b := newCluster(t, 3)
	for _, row := range []struct {
		name string
		run  func(b *cluster)
	}{
		{"endpoint answers after the deadline", answersLate},
		{"endpoint answers twice", faultyAnswers("twice", keelstandin.Behaviour{AnswerTwice: true}, false)},
		{"endpoint declares more than it sends", faultyAnswers("short", keelstandin.Behaviour{WrongLengthBy: 50, CloseMidBody: true}, true)},
		{"endpoint sends more than it declares", faultyAnswers("long", keelstandin.Behaviour{WrongLengthBy: -50}, false)},
		{"endpoint closes in mid-body", faultyAnswers("closed", keelstandin.Behaviour{CloseMidBody: true}, true)},
		{"endpoint answers with status 000", faultyAnswers("status", keelstandin.Behaviour{StatusLine: "HTTP/1.1 000 Oops"}, true)},
		{"endpoint answers with a blank in a field's name", faultyAnswers("field", keelstandin.Behaviour{HeaderLine: "X Other: 1"}, true)},
		{"endpoint stalls without closing", endpointsStall},
		{"caller disconnects in mid-answer", callerGone},
		{"reply is lost", replyLost},
		{"same key at all instances at once", sameKeyAtOnce},
		{"resend while the request runs", resendWhileRunning},
		{"same key with another body", otherBody},
	} {
		t.Run(row.name, func(t *testing.T) {
			b.t = t
			row.run(b)
			b.checkServing()
			b.checkOutcomes()
		})
	}
}

// TestPoisonRequest sends 1,000 requests, one of which crashes each endpoint that
// runs it. Its caller resends it ten times.
func TestPoisonRequest(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			b := newCluster(t, 4)
			sendPoison(b, method)
			b.checkServing()
			b.checkOutcomes()
		})
	}
}

// TestSilentConnections makes open connections to endpoints drop all traffic
// permanently, while new connections work.
func TestSilentConnections(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(b *cluster)
	}{
		{"a middlebox drops all packets of connections older than a second", middleboxDropsState},
		{"a slow upload survives while silent connections are closed", slowUploadSurvives},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newCluster(t, 3)
			row.run(b)
			b.checkServing()
			b.checkOutcomes()
		})
	}
}

// answersLate sends requests to endpoints that answer after the deadline. No
// caller receives the late answers.
func answersLate(b *cluster) {
	is := is.New(b.t)
	b.setBehaviour(keelstandin.Behaviour{Late: keel.Duration(400 * time.Millisecond)})
	var late *callerExchange
	for i := 0; late == nil && b.ctx.Err() == nil; i++ {
		key := fmt.Sprintf("late-%d", i)
		s := b.keyedRequest(i%3, key)
		s.timeout = 200 * time.Millisecond
		if x := b.do(s); b.counts().ByKey[key] > 0 {
			late = x
		}
		b.do(callerRequest{instance: i % 3, method: http.MethodGet, bytes: 500, timeout: 200 * time.Millisecond})
	}
	is.Equal(late.verdict, keel.MayHaveRun.String())
	b.setBehaviour(keelstandin.Behaviour{})
	again := b.keyedRequest(1, late.key)
	x := b.do(again)
	is.True(x.verdict == keel.MayHaveRun.String() || x.ok()) // never reported as not run
	b.waitUntil("the endpoints have finished the late answers", func() bool { return b.counts().InFlight == 0 })
}

// faultyAnswers sends at-most-once requests and reads to endpoints whose answers are
// faulty. broken is set if none of the answers can be complete.
func faultyAnswers(name string, v keelstandin.Behaviour, broken bool) func(*cluster) {
	return func(b *cluster) {
		is := is.New(b.t)
		b.setBehaviour(v)
		before := b.counts().Runs
		const requests = 20
		var group conc.WaitGroup
		for i := range requests {
			group.Go(func() {
				x := b.do(callerRequest{instance: i % 3, method: http.MethodGet, bytes: 100_000})
				is.True(!broken || !x.ok()) // a broken answer is not taken as complete
				key := fmt.Sprintf("%s-%d", name, i)
				x = b.do(b.keyedRequest(i%3, key))
				is.True(!broken || !x.ok())
				if x = b.do(b.keyedRequest((i+1)%3, key)); b.counts().ByKey[key] > 0 {
					is.True(x.verdict != keel.NotRun.String())
				}
			})
		}
		group.Wait()
		is.True(b.counts().Runs > before)
	}
}

// endpointsStall makes the endpoints receive requests without answering.
func endpointsStall(b *cluster) {
	is := is.New(b.t)
	b.setBehaviour(keelstandin.Behaviour{Stall: true})
	var stalled *callerExchange
	for i := 0; stalled == nil && b.ctx.Err() == nil; i++ {
		s := b.keyedRequest(i%3, fmt.Sprintf("stall-%d", i))
		s.timeout = 300 * time.Millisecond
		x := b.do(s)
		if b.counts().ByKey[s.key] > 0 {
			stalled = x
		}
	}
	is.Equal(stalled.verdict, keel.MayHaveRun.String())
	again := b.keyedRequest(2, stalled.key)
	again.timeout = 300 * time.Millisecond
	is.Equal(b.do(again).verdict, keel.MayHaveRun.String())
}

// sendPoison sends 1,000 requests, one of which crashes endpoints.
func sendPoison(b *cluster, method string) {
	is := is.New(b.t)
	b.setBehaviour(keelstandin.Behaviour{CrashMark: "poison", RestartAfter: keel.Duration(50 * time.Millisecond)})
	const requests, workers, sends = 1000, 10, 11
	var group conc.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < requests; i += workers {
				s := callerRequest{instance: i % 3, method: method, bytes: 200}
				if method == http.MethodPost {
					s = b.keyedRequest(i%3, fmt.Sprintf("one-%d", i))
				}
				if i != requests/2 {
					b.sendUntilSettled(s)
					continue
				}
				s.path = "/poison"
				for n := range sends {
					s.instance = n % 3
					is.True(!b.do(s).ok())
				}
			}
		})
	}
	group.Wait()
	crashes := b.counts().Crashes
	is.True(crashes >= 1)
	is.True(crashes <= 2) // a poison request may crash at most two endpoints
}

// sendUntilSettled resends a request until it is answered or, if it has a key, has a
// verdict other than not run. A request that was in flight at a crash may be refused
// as not run for a while, but not for good.
func (b *cluster) sendUntilSettled(s callerRequest) {
	b.waitUntil(s.method+" "+s.key+" has an outcome", func() bool {
		x := b.do(s)
		return x.ok() || s.key != "" && x.verdict != "" && x.verdict != keel.NotRun.String()
	})
}

// silentClosed returns how many silent connections the instances have closed.
func (b *cluster) silentClosed() int {
	n := 0
	for i := range b.local.Instances {
		n += b.dump(i).Steering.SilentClosed
	}
	return n
}

// middleboxDropsState makes each connection to an endpoint go silent a second after
// it was opened, as a middlebox does that expires its connection state.
func middleboxDropsState(b *cluster) {
	b.setBehaviour(keelstandin.Behaviour{SilentAge: keel.Duration(time.Second)})
	before := b.silentClosed()
	var group conc.WaitGroup
	for w := range 6 {
		group.Go(func() {
			for i := 0; b.silentClosed() < before+3 && b.ctx.Err() == nil; i++ {
				b.do(callerRequest{instance: w % 3, method: http.MethodGet, bytes: 1000})
				key := fmt.Sprintf("box-%d-%d", w, i)
				b.do(b.keyedRequest(w%3, key))
				b.do(b.keyedRequest((w+1)%3, key))
			}
		})
	}
	group.Wait()
	for i := range 3 {
		b.sendUntilSettled(callerRequest{instance: i, method: http.MethodGet, bytes: 1000}) // while the middlebox still drops connections
	}
}

// slowUploadSurvives pauses an upload until connections to another endpoint went
// silent and were closed.
func slowUploadSurvives(b *cluster) {
	is := is.New(b.t)
	broken := b.counts().Broken
	body := newSlowBody()
	var up *callerExchange
	var group conc.WaitGroup
	group.Go(func() {
		up = b.do(callerRequest{method: http.MethodPut, upload: body, bytes: 10, timeout: time.Minute})
	})
	at, before := b.uploadingEndpoint(), b.silentClosed()
	for i := 0; b.silentClosed() == before && b.ctx.Err() == nil; i++ {
		for j, e := range b.endpoints {
			if j != at {
				e.SetBehaviour(keelstandin.Behaviour{SilenceOpen: true})
			}
		}
		b.do(callerRequest{instance: i % 3, method: http.MethodGet, bytes: 1000})
	}
	body.finish()
	group.Wait()
	is.NoErr(up.err)
	is.Equal(up.status, http.StatusOK)
	is.Equal(up.checksum, keelstandin.Checksum([]byte(slowBodyText)))
	is.Equal(b.counts().Broken, broken)
}

// uploadingEndpoint waits for an upload and returns the index of the endpoint that
// receives it.
func (b *cluster) uploadingEndpoint() int {
	at := -1
	b.waitUntil("an endpoint receives the upload", func() bool {
		for i, e := range b.endpoints {
			if e.Counts().InFlight > 0 {
				at = i
			}
		}
		return at >= 0
	})
	return at
}

// sendRaw sends a request on a new connection and leaves reading the answer to the
// test.
func (b *cluster) sendRaw(s callerRequest, token string) net.Conn {
	is := is.New(b.t)
	addr := b.local.Instances[s.instance].Addresses().Caller.String()
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "%s /?bytes=%d HTTP/1.1\r\nHost: %s\r\n%s: pages\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		s.method, s.bytes, addr, keelproxy.HeaderService, keelproxy.HeaderKey, s.key, keelstandin.HeaderToken, token, len(s.body), s.body)
	is.NoErr(err)
	return c
}

// callerGone closes a caller's connection in the middle of a long answer.
func callerGone(b *cluster) {
	is := is.New(b.t)
	const long = 1 << 30 // exceeds all buffers between endpoint and caller
	for i, method := range []string{http.MethodGet, http.MethodPost} {
		s := callerRequest{instance: i, method: method, key: "gone-" + method, body: "x", bytes: long}
		c := b.sendRaw(s, "gone-"+method)
		line, err := bufio.NewReader(c).ReadString('\n')
		is.NoErr(err)
		is.True(strings.Contains(line, "200"))
		is.NoErr(c.Close())
		b.waitUntil("the endpoint has no request in flight", func() bool { return b.counts().InFlight == 0 })
	}
	again := b.keyedRequest(2, "gone-POST")
	again.body = "x"
	again.bytes = long
	is.Equal(b.do(again).verdict, keel.Ran.String()) // the answer was too long to be recorded
}

// replyLost closes the caller's connection once the endpoint runs the request.
func replyLost(b *cluster) {
	is := is.New(b.t)
	for i := range 10 {
		s := b.keyedRequest(i%3, fmt.Sprintf("lost-%d", i))
		c := b.sendRaw(s, "lost")
		b.waitUntil("the request runs", func() bool { return b.counts().ByKey[s.key] > 0 })
		is.NoErr(c.Close())
		s.instance = (i + 1) % 3
		x := b.do(s)
		is.True(x.verdict != keel.NotRun.String())
		is.True(x.verdict != "" || x.answerToken == "lost") // the recorded answer
		x.answerToken = x.token                             // checked above
		x.data = nil
	}
}

// sameKeyAtOnce sends each key to all instances at the same time.
func sameKeyAtOnce(b *cluster) {
	is := is.New(b.t)
	for i := range 20 {
		key := fmt.Sprintf("same-%d", i)
		var answers [3]*callerExchange
		var group conc.WaitGroup
		for at := range answers {
			group.Go(func() { answers[at] = b.do(b.keyedRequest(at, key)) })
		}
		group.Wait()
		for _, x := range answers {
			is.True(x.ok()) // without a fault, all receive the answer of the only run
			is.Equal(x.answerToken, answers[0].answerToken)
		}
		is.Equal(b.counts().ByKey[key], 1)
	}
}

// resendWhileRunning sends a request again before the first send is answered.
func resendWhileRunning(b *cluster) {
	is := is.New(b.t)
	b.setBehaviour(keelstandin.Behaviour{Late: keel.Duration(300 * time.Millisecond)})
	for i := range 3 {
		s := b.keyedRequest(i, fmt.Sprintf("again-%d", i))
		var first *callerExchange
		var group conc.WaitGroup
		group.Go(func() { first = b.do(s) })
		b.waitUntil("the first one runs", func() bool { return b.counts().ByKey[s.key] > 0 })
		s.instance = (i + 1) % 3
		second := b.do(s)
		group.Wait()
		is.True(first.ok())
		is.Equal(second.verdict, "") // not refused
		is.Equal(second.answerToken, first.token)
	}
}

// otherBody uses a key for two different requests.
func otherBody(b *cluster) {
	is := is.New(b.t)
	first := b.keyedRequest(0, "conflict")
	is.True(b.do(first).ok())
	second := b.keyedRequest(1, "conflict")
	second.body = "another body"
	x := b.do(second)
	is.Equal(x.reason, keel.ReasonKeyConflict)
	is.Equal(x.verdict, keel.NotRun.String())
}
