package keelscenario

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstandin"
)

// endpoint is a stand-in endpoint that runs as a process.
type endpoint struct {
	name string
	// Serve and Control are the addresses that the process writes to its address
	// file.
	Serve   netip.AddrPort `json:"serve"`
	Control netip.AddrPort `json:"control"`
	proc    *process
}

func (c *cluster) endpoint(name string) *endpoint {
	e := c.endpoints[name]
	if e == nil {
		c.fatalf("endpoint %q was not started", name)
	}
	return e
}

// cmdEndpoint starts a stand-in endpoint that announces itself to every running
// instance of a failure domain. Options such as slots=N are passed on as flags of
// the stand-in command.
func cmdEndpoint(c *cluster, args []string) {
	e := &endpoint{name: args[0]}
	addresses := filepath.Join(c.dir, e.name+".addresses.json")
	command := []string{
		"stand-in", "--name", e.name, "--service", args[1], "--control", "127.0.0.1:0", "--addresses", addresses,
	}
	for k, v := range c.options(args[3:]) {
		command = append(command, "--"+k, v)
	}
	for _, in := range c.running() {
		if in.domain == keel.DomainName(args[2]) {
			command = append(command, "--announce-to", in.listen.Endpoint.String())
		}
	}
	_ = os.Remove(addresses)
	e.proc = c.startProcess(filepath.Join(c.dir, e.name+".log"), command...)
	c.waitForAddresses(e.proc, addresses, e)
	c.endpoints[e.name] = e
}

func cmdBehave(c *cluster, args []string) {
	c.post(c.endpoint(args[0]), "behaviour", strings.Join(args[1:], " "))
}

func cmdCrash(c *cluster, args []string) { c.post(c.endpoint(args[0]), "crash", "") }

func cmdRetire(c *cluster, args []string) { c.post(c.endpoint(args[0]), "leave", "") }

func (c *cluster) post(e *endpoint, path, body string) {
	resp, err := http.Post("http://"+e.Control.String()+"/stand-in/"+path, "application/json", strings.NewReader(body))
	c.check(err)
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // an incomplete text is acceptable
		c.fatalf("%s of endpoint %q: status %d: %s", path, e.name, resp.StatusCode, text)
	}
}

// counts returns the request counts of an endpoint, decoded and as JSON.
func (c *cluster) counts(e *endpoint) (keelstandin.Counts, []byte) {
	resp, err := http.Get("http://" + e.Control.String() + "/stand-in/counts")
	c.check(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	c.check(err)
	var counts keelstandin.Counts
	c.check(json.Unmarshal(data, &counts))
	return counts, data
}

// cmdRemember sets an environment variable of the script to a count of an
// endpoint.
func cmdRemember(c *cluster, args []string) {
	_, doc := c.counts(c.endpoint(args[1]))
	_, seen, err := condition{path: args[2], op: "!=", want: ""}.holds(doc)
	c.check(err)
	c.ts.Setenv(args[0], seen)
}

// cmdCount waits until the counts of an endpoint satisfy a condition.
func cmdCount(c *cluster, args []string) {
	e := c.endpoint(args[0])
	q := parseCondition(args[1:])
	c.until("count "+e.name+" "+q.String(), func() (bool, string) {
		_, doc := c.counts(e)
		ok, seen, err := q.holds(doc)
		c.check(err)
		return ok, seen
	})
}

// cmdCrashes checks the total number of crashes of all endpoints.
func cmdCrashes(c *cluster, args []string) {
	total := 0
	for _, e := range c.endpoints {
		counts, _ := c.counts(e)
		total += counts.Crashes
	}
	c.expect("crashes", condition{".", args[0], args[1]}, []byte(strconv.Itoa(total)))
}
