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

// WaitLimit is how long a command waits for a state before it fails.
const WaitLimit = 30 * time.Second

// dumpLimit is how long the dump of an instance may take after a failure.
const dumpLimit = 2 * time.Second

// pollInterval is the pause between two looks at a state.
const pollInterval = 20 * time.Millisecond

// ProgramName is the command name under which scripts run the program.
const ProgramName = "greengagekeel"

// clusterKey is the place of the cluster among a script's values.
type clusterKey struct{}

// cluster is the processes of one script.
type cluster struct {
	ts      *testscript.TestScript
	dir     string
	program string

	instances map[string]*instance
	endpoints map[string]*endpoint
	loads     map[string]*load
	proxies   map[string]*proxy
	// keys is the folder of keys, below dir.
	keys string
	// order lists the instances as they were declared.
	order []string
	group conc.WaitGroup
	ctx   context.Context
}

// load is a load that runs in the background.
type load struct {
	*keelload.Load
	stop    chan struct{}
	stopped bool
	done    chan struct{}
}

// command is one command of the language.
type command func(c *cluster, args []string)

// usage says which arguments a command takes.
type usage struct {
	run  command
	args string
	// least is how many arguments the command needs.
	least int
}

// commands lists the commands of the language.
func commands() map[string]usage {
	return map[string]usage{
		"cluster":   {cmdCluster, "domain|regions", 1},
		"example":   {cmdExample, "NAME", 1},
		"leader":    {cmdLeader, "", 0},
		"shiftcap":  {cmdShiftCap, "INSTANCE SELECTOR DOMAIN PERCENT WINDOW WEIGHT", 6},
		"linklimit": {cmdLinkLimit, "INSTANCE REGION MEGABITS BYTES", 4},
		"instance":  {cmdInstance, "NAME DOMAIN REGION [voter]", 3},
		"start":     {cmdStart, "INSTANCE...", 1},
		"shutdown":  {cmdStop, "INSTANCE...", 1},
		"leave":     {cmdLeave, "INSTANCE", 1},
		"exited":    {cmdExited, "INSTANCE", 1},
		"sigkill":   {cmdKill, "INSTANCE...", 1},
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

// Params returns what testscript needs to run the scripts in a folder.
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

// declarations holds the folder of declarations that each script finds in its
// own folder.
//
//go:embed declarations
var declarations embed.FS

func setUp(env *testscript.Env) error {
	if err := os.CopyFS(env.WorkDir, declarations); err != nil {
		return errors.Wrap(err, "copy the declarations")
	}
	program, err := lookProgram(env.Getenv("PATH"))
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

// lookProgram finds the program in the path of the script, which is not that of
// this process.
func lookProgram(path string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		if file, err := exec.LookPath(filepath.Join(dir, ProgramName)); err == nil {
			return file, nil
		}
	}
	return exec.LookPath(ProgramName)
}

// call adapts a command to testscript.
func (u usage) call(name string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < u.least {
			ts.Fatalf("usage: %s %s", name, u.args)
		}
		c := ts.Value(clusterKey{}).(*cluster)
		c.ts = ts
		u.run(c, args)
	}
}

// close ends everything that the script started.
func (c *cluster) close() {
	for _, e := range c.endpoints {
		e.proc.kill()
	}
	for _, in := range c.instances {
		in.proc.kill()
	}
	for _, l := range c.loads {
		l.halt()
	}
	c.group.Wait()
	http.DefaultClient.CloseIdleConnections()
}

func (c *cluster) keysDir() string { return filepath.Join(c.dir, c.keys) }

func (c *cluster) fatalf(format string, args ...any) { c.ts.Fatalf(format, args...) }

func (c *cluster) check(err error) { c.ts.Check(err) }

// until calls f until it returns true, and else fails with what f said last.
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

// logDumps writes the dump of each running instance and the end of its log into
// the log of the script, so that a failure can be traced.
func (c *cluster) logDumps() {
	for _, in := range c.running() {
		// A paused process answers nothing.
		ctx, cancel := context.WithTimeout(c.ctx, dumpLimit)
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
