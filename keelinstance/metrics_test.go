package keelinstance_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestStateMetrics looks for the state of an instance in its metrics: claims,
// agreement, look-ups and a drain that has ended.
func TestStateMetrics(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	is.Equal(exchangeText(t, s.instance.Addresses().Caller, keyed("k1", 0)).status, http.StatusOK)
	is.Equal(exchangeText(t, s.instance.Addresses().Caller, "GET /v1/lookup?service=pages HTTP/1.1\r\nHost: x\r\n\r\n").status, http.StatusOK)
	s.endpoint.Leave()
	s.waitMetrics(t,
		gauge("claims", 1),
		gauge("claim_barrier", 0),
		gauge("claim_conflicts", 0),
		gauge("quorum_leads", 1),
		gauge("quorum_leader_known", 1),
		gauge("quorum_storage_failed", 0),
		gauge("declarations_version", 1),
		gauge("drain_seconds_count", 1),
		gauge("endpoints_draining", 0),
		counted("lookups", `instance="i-1",reason="",service="pages",status="200"`, 1),
	)
}

func gauge(name string, value int) string {
	return fmt.Sprintf("keel_%s{domain=\"d\",instance=\"i-1\"} %d\n", name, value)
}
