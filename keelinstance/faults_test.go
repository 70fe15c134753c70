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

// TestFaults puts one fault after the other before instances, endpoints and
// callers that speak over real sockets. After each row no key has run twice, no
// endpoint has seen a byte of what was refused as not run, each answer is the
// request's own, and every instance serves.
func TestFaults(t *testing.T) {
	b := newBed(t, 3)
	for _, row := range []struct {
		name string
		run  func(b *bed)
	}{
		{"endpoint answers after the deadline", answersLate},
		{"endpoint answers twice", faultyAnswers("twice", keelstandin.Behaviour{AnswerTwice: true}, false)},
		{"endpoint promises more than it sends", faultyAnswers("short", keelstandin.Behaviour{WrongLengthBy: 50, CloseMidBody: true}, true)},
		{"endpoint sends more than it promises", faultyAnswers("long", keelstandin.Behaviour{WrongLengthBy: -50}, false)},
		{"endpoint closes in mid-body", faultyAnswers("closed", keelstandin.Behaviour{CloseMidBody: true}, true)},
		{"endpoint stalls without closing", stalls},
		{"caller is gone in mid-answer", callerGone},
		{"reply is lost", replyLost},
		{"same key at all instances at once", sameKeyAtOnce},
		{"resend while the request runs", resendWhileRunning},
		{"same key with another body", otherBody},
	} {
		t.Run(row.name, func(t *testing.T) {
			b.t = t
			row.run(b)
			b.serves()
			b.check()
		})
	}
}

// TestPoisonRequest lets one request of 1,000 crash each endpoint that runs it.
// Its caller sends it again ten times.
func TestPoisonRequest(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			b := newBed(t, 4)
			poison(b, method)
			b.serves()
			b.check()
		})
	}
}

// TestSilentConnections lets connections to endpoints go silent for good while
// fresh ones work.
func TestSilentConnections(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(b *bed)
	}{
		{"a box drops all packets of connections older than a second", middleBox},
		{"a slow upload stays while silent connections are retired", slowUploadStays},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBed(t, 3)
			row.run(b)
			b.serves()
			b.check()
		})
	}
}

// answersLate lets requests reach an endpoint that answers after their
// deadline. The late answers go to nobody.
func answersLate(b *bed) {
	is := is.New(b.t)
	b.behave(keelstandin.Behaviour{Late: keel.Duration(400 * time.Millisecond)})
	var late *sent
	for i := 0; late == nil && b.ctx.Err() == nil; i++ {
		key := fmt.Sprintf("late-%d", i)
		s := b.keyed(i%3, key)
		s.timeout = 200 * time.Millisecond
		if x := b.do(s); b.counts().ByKey[key] > 0 {
			late = x
		}
		b.do(send{at: i % 3, method: http.MethodGet, bytes: 500, timeout: 200 * time.Millisecond})
	}
	is.Equal(late.verdict, keel.MayHaveRun.String())
	b.behave(keelstandin.Behaviour{})
	again := b.keyed(1, late.key)
	x := b.do(again)
	is.True(x.verdict == keel.MayHaveRun.String() || x.ok()) // never said not to have run
	b.until("the late answers have been given up", func() bool { return b.counts().InFlight == 0 })
}

// faultyAnswers sends keyed requests and reads through endpoints whose answers
// are faulty. broken says that no whole answer can come.
func faultyAnswers(name string, v keelstandin.Behaviour, broken bool) func(*bed) {
	return func(b *bed) {
		is := is.New(b.t)
		b.behave(v)
		before := b.counts().Runs
		const requests = 20
		var group conc.WaitGroup
		for i := range requests {
			group.Go(func() {
				x := b.do(send{at: i % 3, method: http.MethodGet, bytes: 100_000})
				is.True(!broken || !x.ok()) // a broken answer does not look whole
				key := fmt.Sprintf("%s-%d", name, i)
				x = b.do(b.keyed(i%3, key))
				is.True(!broken || !x.ok())
				if x = b.do(b.keyed((i+1)%3, key)); b.counts().ByKey[key] > 0 {
					is.True(x.verdict != keel.NotRun.String())
				}
			})
		}
		group.Wait()
		is.True(b.counts().Runs > before)
	}
}

// stalls lets the endpoints take requests without answering.
func stalls(b *bed) {
	is := is.New(b.t)
	b.behave(keelstandin.Behaviour{Stall: true})
	var stalled *sent
	for i := 0; stalled == nil && b.ctx.Err() == nil; i++ {
		s := b.keyed(i%3, fmt.Sprintf("stall-%d", i))
		s.timeout = 300 * time.Millisecond
		x := b.do(s)
		if b.counts().ByKey[s.key] > 0 {
			stalled = x
		}
	}
	is.Equal(stalled.verdict, keel.MayHaveRun.String())
	again := b.keyed(2, stalled.key)
	again.timeout = 300 * time.Millisecond
	is.Equal(b.do(again).verdict, keel.MayHaveRun.String())
}

// poison sends 1,000 requests, of which one crashes endpoints.
func poison(b *bed, method string) {
	is := is.New(b.t)
	b.behave(keelstandin.Behaviour{CrashMark: "poison", RestartAfter: keel.Duration(50 * time.Millisecond)})
	const requests, workers, sends = 1000, 10, 11
	var group conc.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < requests; i += workers {
				s := send{at: i % 3, method: method, bytes: 200}
				if method == http.MethodPost {
					s = b.keyed(i%3, fmt.Sprintf("one-%d", i))
				}
				if i != requests/2 {
					b.innocent(s)
					continue
				}
				s.path = "/poison"
				for n := range sends {
					s.at = n % 3
					is.True(!b.do(s).ok())
				}
			}
		})
	}
	group.Wait()
	crashes := b.counts().Crashes
	is.True(crashes >= 1)
	is.True(crashes <= 2) // a poison request takes at most two endpoints
}

// innocent sends a request until it has an outcome: it does not stay refused. One
// that was in flight at a crash may be refused as not run for a while.
func (b *bed) innocent(s send) {
	b.until(s.method+" "+s.key+" has an outcome", func() bool {
		x := b.do(s)
		return x.ok() || s.key != "" && x.verdict != "" && x.verdict != keel.NotRun.String()
	})
}

func (b *bed) retired() int {
	n := 0
	for i := range b.local.Instances {
		n += b.dump(i).Steering.SilentClosed
	}
	return n
}

// middleBox loses track of each connection to an endpoint a second after it was
// opened.
func middleBox(b *bed) {
	b.behave(keelstandin.Behaviour{SilentAge: keel.Duration(time.Second)})
	before := b.retired()
	var group conc.WaitGroup
	for w := range 6 {
		group.Go(func() {
			for i := 0; b.retired() < before+3 && b.ctx.Err() == nil; i++ {
				b.do(send{at: w % 3, method: http.MethodGet, bytes: 1000})
				key := fmt.Sprintf("box-%d-%d", w, i)
				b.do(b.keyed(w%3, key))
				b.do(b.keyed((w+1)%3, key))
			}
		})
	}
	group.Wait()
	for i := range 3 {
		b.innocent(send{at: i, method: http.MethodGet, bytes: 1000}) // while the box goes on
	}
}

// slowUploadStays holds an upload back until connections to another endpoint
// went silent and were retired.
func slowUploadStays(b *bed) {
	is := is.New(b.t)
	broken := b.counts().Broken
	body := newSlowBody()
	var up *sent
	var group conc.WaitGroup
	group.Go(func() { up = b.do(send{method: http.MethodPut, upload: body, bytes: 10, timeout: time.Minute}) })
	at, before := b.uploadingAt(), b.retired()
	for i := 0; b.retired() == before && b.ctx.Err() == nil; i++ {
		for j, e := range b.endpoints {
			if j != at {
				e.SetBehaviour(keelstandin.Behaviour{SilenceOpen: true})
			}
		}
		b.do(send{at: i % 3, method: http.MethodGet, bytes: 1000})
	}
	body.finish()
	group.Wait()
	is.NoErr(up.err)
	is.Equal(up.status, http.StatusOK)
	is.Equal(up.checksum, keelstandin.Checksum([]byte(slowBodyText)))
	is.Equal(b.counts().Broken, broken)
}

// uploadingAt returns the index of the endpoint that gets an upload.
func (b *bed) uploadingAt() int {
	at := -1
	b.until("an endpoint gets the upload", func() bool {
		for i, e := range b.endpoints {
			if e.Runs().InFlight > 0 {
				at = i
			}
		}
		return at >= 0
	})
	return at
}

// dial sends a request of a caller that reads the answer as it likes.
func (b *bed) dial(s send, token string) net.Conn {
	is := is.New(b.t)
	addr := b.local.Instances[s.at].Addresses().Caller.String()
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "%s /?bytes=%d HTTP/1.1\r\nHost: %s\r\n%s: pages\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		s.method, s.bytes, addr, keelproxy.HeaderService, keelproxy.HeaderKey, s.key, keelstandin.HeaderToken, token, len(s.body), s.body)
	is.NoErr(err)
	return c
}

// callerGone leaves a caller's connection in the middle of a long answer.
func callerGone(b *bed) {
	is := is.New(b.t)
	const long = 1 << 30 // more than all buffers on the way hold
	for i, method := range []string{http.MethodGet, http.MethodPost} {
		s := send{at: i, method: method, key: "gone-" + method, body: "x", bytes: long}
		c := b.dial(s, "gone-"+method)
		line, err := bufio.NewReader(c).ReadString('\n')
		is.NoErr(err)
		is.True(strings.Contains(line, "200"))
		is.NoErr(c.Close())
		b.until("the endpoint is free again", func() bool { return b.counts().InFlight == 0 })
	}
	again := b.keyed(2, "gone-POST")
	again.body = "x"
	again.bytes = long
	is.Equal(b.do(again).verdict, keel.Ran.String()) // the answer was too long to be kept
}

// replyLost closes the caller's connection once the request has run.
func replyLost(b *bed) {
	is := is.New(b.t)
	for i := range 10 {
		s := b.keyed(i%3, fmt.Sprintf("lost-%d", i))
		c := b.dial(s, "lost")
		b.until("the request runs", func() bool { return b.counts().ByKey[s.key] > 0 })
		is.NoErr(c.Close())
		s.at = (i + 1) % 3
		x := b.do(s)
		is.True(x.verdict != keel.NotRun.String())
		is.True(x.verdict != "" || x.answered == "lost") // the recorded answer
		x.answered = x.token                             // checked above
		x.data = nil
	}
}

// sameKeyAtOnce sends each key to all instances at the same time.
func sameKeyAtOnce(b *bed) {
	is := is.New(b.t)
	for i := range 20 {
		key := fmt.Sprintf("same-%d", i)
		var answers [3]*sent
		var group conc.WaitGroup
		for at := range answers {
			group.Go(func() { answers[at] = b.do(b.keyed(at, key)) })
		}
		group.Wait()
		for _, x := range answers {
			is.True(x.ok()) // nothing failed, so that each gets the one answer
			is.Equal(x.answered, answers[0].answered)
		}
		is.Equal(b.counts().ByKey[key], 1)
	}
}

// resendWhileRunning sends a request again before the first send is answered.
func resendWhileRunning(b *bed) {
	is := is.New(b.t)
	b.behave(keelstandin.Behaviour{Late: keel.Duration(300 * time.Millisecond)})
	for i := range 3 {
		s := b.keyed(i, fmt.Sprintf("again-%d", i))
		var first *sent
		var group conc.WaitGroup
		group.Go(func() { first = b.do(s) })
		b.until("the first one runs", func() bool { return b.counts().ByKey[s.key] > 0 })
		s.at = (i + 1) % 3
		second := b.do(s)
		group.Wait()
		is.True(first.ok())
		is.Equal(second.verdict, "") // not refused
		is.Equal(second.answered, first.token)
	}
}

// otherBody uses a key for two different requests.
func otherBody(b *bed) {
	is := is.New(b.t)
	first := b.keyed(0, "conflict")
	is.True(b.do(first).ok())
	second := b.keyed(1, "conflict")
	second.body = "another body"
	x := b.do(second)
	is.Equal(x.reason, keel.ReasonKeyConflict)
	is.Equal(x.verdict, keel.NotRun.String())
}
