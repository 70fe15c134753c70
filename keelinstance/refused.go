package keelinstance

import (
	"strconv"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/sirupsen/logrus"
)

// Values of the log field port and of [refusalCause].
const (
	portCaller   = "caller"
	portLookup   = "lookup"
	portEndpoint = "endpoint"
	portOperator = "operator"
)

// refusalMessage is the log message of a refusal. Invalid input may arrive in
// bulk, so each cause is logged at most once in refusalLogPeriod. The metrics
// count every refusal.
const refusalMessage = "refused; further refusals for this cause are counted but not logged for a while"

// reportRequest counts a finished request, and logs it if it was refused or its
// answer is incomplete.
func (in *Instance) reportRequest(res keelproxy.Result) {
	in.metrics.countRequest(res)
	if res.Refusal == nil && !res.Broken {
		return
	}
	entry := in.log.WithFields(logrus.Fields{
		"request_id": res.Request.ID, "service": res.Request.Service, "selector": res.Request.Selector,
		"status": res.Status, "elapsed_ms": res.Elapsed.Milliseconds(),
	})
	if res.Broken {
		entry.Warn("answer is incomplete")
		return
	}
	in.logRefusal(entry, portCaller, res.Refusal)
}

// reportLookup counts an answered look-up, and logs it if it was refused.
func (in *Instance) reportLookup(res keelsteer.LookupResult) {
	in.metrics.countLookup(res)
	if res.Refusal != nil {
		in.logRefusal(in.log.WithField("service", res.Service), portLookup, res.Refusal)
	}
}

func (in *Instance) logRefusal(entry *logrus.Entry, port string, refusal *keel.Refusal) {
	if !in.metrics.shouldLog(refusalCause{port, string(refusal.Reason)}) {
		return
	}
	entry.WithFields(logrus.Fields{
		"port": port, "verdict": refusal.Verdict.String(), "reason": refusal.Reason, "detail": refusal.Detail,
	}).Warn(refusalMessage)
}

// reportAnnouncement counts and logs a refused announcement.
func (in *Instance) reportAnnouncement(fs keel.Faults) {
	in.metrics.countRefusedAnnouncement(fs)
	for _, f := range fs {
		if in.metrics.shouldLog(refusalCause{portEndpoint, fieldTag(f.Field)}) {
			in.log.WithFields(logrus.Fields{"port": portEndpoint, "field": f.Field, "reason": f.Reason}).Warn(refusalMessage)
		}
	}
}

// reportOperatorCall counts and logs a refused call to the operator port.
func (in *Instance) reportOperatorCall(status int, p keeloperate.Problem) {
	in.metrics.countRefusedOperatorCall(status)
	if in.metrics.shouldLog(refusalCause{portOperator, strconv.Itoa(status)}) {
		in.log.WithFields(logrus.Fields{"port": portOperator, "status": status, "detail": p.Error}).Warn(refusalMessage)
	}
}
