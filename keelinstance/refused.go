package keelinstance

import (
	"strconv"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/sirupsen/logrus"
)

// Ports as causes of refusals name them.
const (
	portCaller   = "caller"
	portLookup   = "lookup"
	portEndpoint = "endpoint"
	portOperator = "operator"
)

// refusalText is the log line of a refusal. Bad input may come in floods, so
// each cause has one line in a while and is counted in the metrics.
const refusalText = "refused; further ones for this cause are only counted for a while"

// report counts and logs a request that has ended.
func (in *Instance) report(res keelproxy.Result) {
	in.metrics.request(res)
	if res.Refusal == nil && !res.Broken {
		return
	}
	entry := in.log.WithFields(logrus.Fields{
		"request_id": res.Request.ID, "service": res.Request.Service, "selector": res.Request.Selector,
		"status": res.Status, "elapsed_ms": res.Elapsed.Milliseconds(),
	})
	if res.Broken {
		entry.Warn("answer broke off")
		return
	}
	in.logRefusal(entry, portCaller, res.Refusal)
}

// reportLookup counts and logs a look-up that has been answered.
func (in *Instance) reportLookup(res keelsteer.LookupResult) {
	in.metrics.lookup(res)
	if res.Refusal != nil {
		in.logRefusal(in.log.WithField("service", res.Service), portLookup, res.Refusal)
	}
}

func (in *Instance) logRefusal(entry *logrus.Entry, port string, refusal *keel.Refusal) {
	if !in.metrics.due(cause{port, string(refusal.Reason)}) {
		return
	}
	entry.WithFields(logrus.Fields{
		"port": port, "verdict": refusal.Verdict.String(), "reason": refusal.Reason, "detail": refusal.Detail,
	}).Warn(refusalText)
}

// reportAnnouncement counts and logs an announcement that was refused.
func (in *Instance) reportAnnouncement(fs keel.Faults) {
	in.metrics.announceRefused(fs)
	for _, f := range fs {
		if in.metrics.due(cause{portEndpoint, fieldTag(f.Field)}) {
			in.log.WithFields(logrus.Fields{"port": portEndpoint, "field": f.Field, "reason": f.Reason}).Warn(refusalText)
		}
	}
}

// reportCall counts and logs a call of an operator that was refused.
func (in *Instance) reportCall(status int, p keeloperate.Problem) {
	in.metrics.operatorRefused(status)
	if in.metrics.due(cause{portOperator, strconv.Itoa(status)}) {
		in.log.WithFields(logrus.Fields{"port": portOperator, "status": status, "detail": p.Error}).Warn(refusalText)
	}
}
