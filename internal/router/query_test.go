package router

import (
	"strings"
	"testing"

	"magpiebank/internal/admission"
)

// tenantSettings are the settings of a deployment whose clients state tenants and estimates. Its load requests have an
// idempotency token, by which engines detect a repeated request.
const tenantSettings = `{"fleetSize":1,"zones":["hall"],"skus":["std"],"projects":[{"name":"north","fraction":0.5},{"name":"south","fraction":0.5}],
 "classes":[{"name":"look","sloUs":1000000,"worth":1,"effect":"read_like"},
  {"name":"load","sloUs":4000000,"worth":10,"effect":"idempotency_key","windowUs":2000000,"fifoByKey":true}],
 "familyInfo":{"dop":[1,2],"kindCores":[8],"sizeMb":[16384],"grants":true,"whenShort":"swap"},
 "limits":{"maxAttempts":4,"multiplex":2,"keepaliveUs":30000000,"connectTimeoutUs":250000},"rules":{}}`

const testIdempotencyToken = "6520e9b9eb7682deebfe42a23d2c027c"

// The gateway reads every field that a client of the deployment can send. It sends the idempotency token with each attempt,
// uses the client's estimates, and rejects fields and values that the settings don't allow.
func TestFieldsOfADeploymentWithTenants(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixtureWith(t, tenantSettings, e, f)
	s.announceEngine(f, "Terminating")
	a := s.newClient()
	a.sendStatement("/* class=load,id=00000000000000aa,wait=20000,tenant=south,cost=120.5,once=" + testIdempotencyToken +
		",key=000f32068cc24621,mb=200 */ INSERT INTO t_7.x SELECT * FROM staging.y")
	conn := e.receive()
	requests := make(chan request, 1)
	s.onOwner(func(admission.Time) { requests <- *s.owner.requests["00000000000000aa"] })
	if got := <-requests; got.tenant != 1 || got.orderingKey != "000f32068cc24621" || got.estimate.Work != 1205 || got.estimate.Memory != 200 {
		t.Errorf("tenant %d, key %q, estimate %+v", got.tenant, got.orderingKey, got.estimate)
	}
	s.announceEngine(e, "Terminating")
	s.announceEngine(f, "Ready")
	conn.Close()
	conn = f.receive()
	f.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	if got := strings.Count(s.trace.String(), "token="+testIdempotencyToken); got != 2 {
		t.Errorf("%d attempts carried the idempotency token, want 2", got)
	}
	for _, fields := range []string{"class=look,id=00000000000000ab,wait=500,tenant=west", "class=look,id=00000000000000ac,wait=500,once=" + testIdempotencyToken} {
		a.sendStatement("/* " + fields + " */ SELECT a FROM t_7.x")
		a.expectAnswer()
	}
	s.compareTrace("fields of other deployments")
}

// A client's estimate is limited to what could be served at all, so that it doesn't distort what is learned about its class.
func TestEstimatesAreLimited(t *testing.T) {
	s := startFixtureWith(t, strings.Replace(tenantSettings, `"sloUs":1000000,`, `"sloUs":1000000,"deadlineUs":5000000,`, 1))
	a := s.newClient()
	a.sendStatement("/* class=look,id=00000000000000aa,wait=5000,tenant=north,cost=900000000,mb=900000000 */ SELECT a FROM t_7.x")
	s.awaitRequests(1)
	requests := make(chan request, 1)
	s.onOwner(func(admission.Time) { requests <- *s.owner.requests["00000000000000aa"] })
	if got := (<-requests).estimate; got.Work != 5*admission.Second || got.Memory != 16384 {
		t.Errorf("estimate %+v", got)
	}
	s.close()
}
