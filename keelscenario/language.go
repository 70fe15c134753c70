package keelscenario

import (
	"context"
	"embed"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelload"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"
)

// WaitLimit is the time after which a command that polls a state fails.
const WaitLimit = 30 * time.Second

// dumpTimeout limits the request for an instance's dump after a failure.
const dumpTimeout = 2 * time.Second

// pollInterval is the pause between two polls of a state.
const pollInterval = 20 * time.Millisecond

// ProgramName is the name by which scripts run the program under test.
const ProgramName = "greengagekeel"

// clusterKey is the key of the cluster in the values of a script.
type clusterKey struct{}

// cluster holds the instances, endpoints, loads and proxies of one script.
type cluster struct {
	ts *testscript.TestScript
	// dir is the working folder of the script.
	dir string
	// program is the path of the program under test.
	program string

	instances map[string]*instance
	endpoints map[string]*endpoint
	loads     map[string]*load
	proxies   map[string]*proxy
	// keys is the folder of keys, relative to dir.
	keys string
	// instanceOrder lists the names of the instances in the order of their
	// declaration.
	instanceOrder []string
	// group holds the goroutines of processes, loads and proxies.
	group conc.WaitGroup
	// ctx is cancelled when the script ends.
	ctx context.Context
}

// load is a load generator that runs in the background.
type load struct {
	*keelload.Load
	stop    chan struct{}
	stopped bool // stop is closed
	done    chan struct{}
}

// commandFunc runs a command of a script.
type commandFunc func(c *cluster, args []string)

// commandSpec describes a command and its arguments.
type commandSpec struct {
	run commandFunc
	// args names the arguments in the usage message.
	args string
	// minArgs is the least number of arguments.
	minArgs int
}

// commands returns the commands that scripts have beside those of testscript.
func commands() map[string]commandSpec {
	return map[string]commandSpec{
		"cluster":   {cmdCluster, "domain|regions", 1},
		"example":   {cmdExample, "NAME", 1},
		"leader":    {cmdLeader, "", 0},
		"shiftcap":  {cmdShiftCap, "INSTANCE SELECTOR DOMAIN PERCENT WINDOW WEIGHT", 6},
		"linklimit": {cmdLinkLimit, "INSTANCE REGION MEGABITS BYTES", 4},
		"instance":  {cmdInstance, "NAME DOMAIN REGION [voter]", 3},
		"start":     {cmdStart, "INSTANCE...", 1},
		"shutdown":  {cmdShutdown, "INSTANCE...", 1},
		"leave":     {cmdLeave, "INSTANCE", 1},
		"exited":    {cmdExited, "INSTANCE", 1},
		"sigkill":   {cmdSigkill, "INSTANCE...", 1},
		"pause":     {cmdPause, "INSTANCE", 1},
		"resume":    {cmdResume, "INSTANCE", 1},
		"cut":       {cmdCut, "INSTANCE... - INSTANCE...", 3},
		"cutoneway": {cmdCutOneWay, "FROM TO", 2},
		"cutrest":   {cmdCutRest, "INSTANCE", 1},
		"mute":      {cmdMute, "INSTANCE", 1},
		"heal":      {cmdHeal, "", 0},
		"proxy":     {cmdProxy, "NAME INSTANCE", 2},
		"degrade":   {cmdDegrade, "PROXY pass|delay|reset|silence|oneway [DURATION]", 2},
		"erase":     {cmdErase, "INSTANCE", 1},
		"endpoint":  {cmdEndpoint, "NAME SERVICE DOMAIN [slots=N] [ttl=DURATION]", 3},
		"behave":    {cmdBehave, "ENDPOINT JSON", 2},
		"crashes":   {cmdCrashes, "OP NUMBER", 2},
		"crash":     {cmdCrash, "ENDPOINT", 1},
		"retire":    {cmdRetire, "ENDPOINT", 1},
		"count":     {cmdCount, "ENDPOINT PATH OP VALUE", 4},
		"remember":  {cmdRemember, "VARIABLE ENDPOINT PATH", 3},
		"load":      {cmdLoad, "NAME SERVICE [KEY=VALUE...]", 2},
		"loadstop":  {cmdLoadStop, "NAME", 1},
		"loadwait":  {cmdLoadWait, "NAME", 1},
		"progress":  {cmdProgress, "NAME REQUESTS", 2},
		"tally":     {cmdTally, "NAME PATH OP VALUE", 4},
		"verify":    {cmdVerify, "NAME", 1},
		"until":     {cmdUntil, "INSTANCE PATH OP VALUE", 4},
		"expect":    {cmdExpect, "INSTANCE PATH OP VALUE", 4},
		"request":   {cmdRequest, "INSTANCE METHOD PATH [HEADER=VALUE...]", 3},
		"post":      {cmdPost, "ADDRESS PATH JSON", 3},
		"race":      {cmdRace, "OPERATORS INSTANCE...", 2},
		"changes":   {cmdChanges, "INSTANCE COUNT PREFIX", 3},
		"resend":    {cmdResend, "INSTANCE ID", 2},
		"inforce":   {cmdInForce, "INSTANCE [LAGGING...]", 1},
	}
}

// Params returns the parameters with which testscript runs the scripts in a
// folder.
func Params(dir string) testscript.Params {
	p := testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		Setup:               setUp,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){},
	}
	for name, u := range commands() {
		p.Cmds[name] = u.call(name)
	}
	return p
}

// declarations holds the declarations that are copied to the working folder of
// each script.
//
//go:embed declarations
var declarations embed.FS

func setUp(env *testscript.Env) error {
	if err := os.CopyFS(env.WorkDir, declarations); err != nil {
		return errors.Wrap(err, "copy the declarations")
	}
	program, err := findProgram(env.Getenv("PATH"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		dir:       env.WorkDir,
		keys:      "keys",
		program:   program,
		instances: map[string]*instance{},
		endpoints: map[string]*endpoint{},
		loads:     map[string]*load{},
		proxies:   map[string]*proxy{},
		ctx:       ctx,
	}
	env.Values[clusterKey{}] = c
	env.Setenv("KEEL_TOKEN_FILE", filepath.Join(c.keysDir(), "operator.token"))
	env.Defer(func() {
		cancel()
		c.close()
	})
	return nil
}

// findProgram finds the program in the PATH of the script, which differs from
// that of this process.
func findProgram(path string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		if file, err := exec.LookPath(filepath.Join(dir, ProgramName)); err == nil {
			return file, nil
		}
	}
	return exec.LookPath(ProgramName)
}

// call adapts a command to testscript.
func (u commandSpec) call(name string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < u.minArgs {
			ts.Fatalf("usage: %s %s", name, u.args)
		}
		c := ts.Value(clusterKey{}).(*cluster)
		c.ts = ts
		u.run(c, args)
	}
}

// close kills the processes and stops the loads that the script started.
func (c *cluster) close() {
	for _, e := range c.endpoints {
		e.proc.kill()
	}
	for _, in := range c.instances {
		in.proc.kill()
	}
	for _, l := range c.loads {
		l.stopAndWait()
	}
	c.group.Wait()
	http.DefaultClient.CloseIdleConnections()
}

func (c *cluster) keysDir() string { return filepath.Join(c.dir, c.keys) }

func (c *cluster) fatalf(format string, args ...any) { c.ts.Fatalf(format, args...) }

func (c *cluster) check(err error) { c.ts.Check(err) }

// until polls f until it reports ok. After [WaitLimit] it logs the dumps of all
// instances and fails with the state that f returned last.
func (c *cluster) until(what string, f func() (ok bool, seen string)) {
	deadline := time.Now().Add(WaitLimit)
	for {
		ok, seen := f()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			c.logDumps()
			c.fatalf("%s: not within %s, last seen: %s", what, WaitLimit, seen)
		}
		time.Sleep(pollInterval)
	}
}

// logDumps adds the dump of each running instance and the end of its log to the
// log of the script.
func (c *cluster) logDumps() {
	for _, in := range c.running() {
		// A paused process doesn't answer.
		ctx, cancel := context.WithTimeout(c.ctx, dumpTimeout)
		doc, err := c.client(in).Dump(ctx)
		cancel()
		if err != nil {
			c.ts.Logf("dump of %s: %v", in.name, err)
			continue
		}
		c.ts.Logf("dump of %s: %s\nend of its log: %s", in.name, doc, in.proc.tail())
	}
}

// options splits arguments of the form key=value.
func (c *cluster) options(args []string) map[string]string {
	opts := map[string]string{}
	for _, arg := range args {
		k, v, ok := strings.Cut(arg, "=")
		if !ok {
			c.fatalf("%q is not of the form key=value", arg)
		}
		opts[k] = v
	}
	return opts
}

func instanceNames(names []string) []keel.InstanceName {
	out := make([]keel.InstanceName, len(names))
	for i, n := range names {
		out[i] = keel.InstanceName(n)
	}
	return out
}
