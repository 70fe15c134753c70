package keelinstance_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestStateMetrics checks the metrics about claims, consensus, look-ups and a
// completed drain.
func TestStateMetrics(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	is.Equal(exchangeText(t, s.instance.Addresses().Caller, keyedRequestText("k1", 0)).status, http.StatusOK)
	is.Equal(exchangeText(t, s.instance.Addresses().Caller, "GET /v1/lookup?service=pages HTTP/1.1\r\nHost: x\r\n\r\n").status, http.StatusOK)
	s.endpoint.Leave()
	s.waitMetrics(t,
		gaugeLine("claims", 1),
		gaugeLine("claim_barrier", 0),
		gaugeLine("claim_conflicts", 0),
		gaugeLine("quorum_leads", 1),
		gaugeLine("quorum_leader_known", 1),
		gaugeLine("quorum_storage_failed", 0),
		gaugeLine("declarations_version", 1),
		gaugeLine("drain_seconds_count", 1),
		gaugeLine("endpoints_draining", 0),
		counterLine("lookups", `instance="i-1",reason="",service="pages",status="200"`, 1),
	)
}

func gaugeLine(name string, value int) string {
	return fmt.Sprintf("keel_%s{domain=\"d\",instance=\"i-1\"} %d\n", name, value)
}
