package keelconfig_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the schema files")

// TestSchemas checks that the committed schemas match the types.
func TestSchemas(t *testing.T) {
	for file, schema := range map[string]func() ([]byte, error){
		keelconfig.SettingsSchemaFile:     keelconfig.SettingsSchema,
		keelconfig.DeclarationsSchemaFile: keelconfig.DeclarationsSchema,
	} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			want, err := schema()
			is.NoErr(err)
			path := filepath.Join("..", file)
			if *update {
				is.NoErr(os.WriteFile(path, want, 0o644))
			}
			got, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(string(got), string(want)) // run "go generate ./keelconfig"
		})
	}
}

const valid = `{"instance":"i-1","domain":"d","region":"r","keys":"k","data_dir":"x","voter":true,"voters":["i-1","i-2","i-3"],
"listen":{"caller":"127.0.0.1:1","endpoint":"127.0.0.1:2","operator":"127.0.0.1:3","peer":"127.0.0.1:1"}}`

func TestParse(t *testing.T) {
	tests := []struct{ name, old, new, field string }{
		{"valid", "", "", ""},
		{"unknown field", `"keys"`, `"kees"`, "kees"},
		{"wrong type", `"k"`, `7`, "keys"},
		{"not JSON", `{`, `[`, "$"},
		{"trailing data", `}}`, `}} 1`, "$"},
		{"no keys", `"keys":"k",`, ``, "keys"},
		{"bad name", `"i-1","domain"`, `"I 1","domain"`, "instance"},
		{"bad address", `127.0.0.1:3`, `localhost:3`, "listen.operator"},
		{"missing address", `"operator":"127.0.0.1:3",`, ``, "listen.operator"},
		{"same port twice", `"127.0.0.1:2"`, `"127.0.0.1:1"`, "listen.endpoint"},
		{"every address", `127.0.0.1:1"}`, `0.0.0.0:1"}`, "advertise.peer"},
		{"advertised port 0", `{"instance"`, `{"advertise":{"peer":"10.0.0.1:0"},"instance"`, "advertise.peer"},
		{"join nowhere", `{"instance"`, `{"join":["0.0.0.0:1"],"instance"`, "join[0]"},
		{"voter without data", `"data_dir":"x",`, ``, "data_dir"},
		{"even voters", `,"i-3"`, ``, "voters"},
		{"voter named twice", `"i-3"`, `"i-2"`, "voters[2]"},
		{"named but no voter", `"voter":true,`, ``, "voter"},
		{"log level", `{"instance"`, `{"log":{"level":"loud"},"instance"`, "log.level"},
		{"limit", `{"instance"`, `{"limits":{"max_in_flight":-1},"instance"`, "limits.max_in_flight"},
		{"duration without unit", `{"instance"`, `{"timing":{"heartbeat":"5"},"instance"`, "timing.heartbeat"},
		{"duration out of range", `{"instance"`, `{"timing":{"heartbeat":"9h"},"instance"`, "timing.heartbeat"},
		{"no time for a body", `{"instance"`, `{"timing":{"body_idle":"0s"},"instance"`, "timing.body_idle"},
		{"much memory", `{"instance"`, `{"memory":{"soft_limit_bytes":0,"limit_bytes":2199023255552},"instance"`, "memory.limit_bytes"},
		{"memory below a keyed body", `{"instance"`, `{"limits":{"max_keyed_body_bytes":67108864},"instance"`, "memory.limit_bytes"},
		{"memory below a header", `{"instance"`, `{"limits":{"max_header_bytes":1048576},"instance"`, "memory.limit_bytes"},
		{"grace below TTL", `{"instance"`, `{"timing":{"stop_grace":"2s"},"instance"`, "timing.stop_grace"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "s.json")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(valid, tt.old, tt.new, 1)), 0o600))
			_, err := keelconfig.Load(file)
			if tt.field == "" {
				is.NoErr(err)
				return
			}
			faults, ok := err.(keel.Faults)
			is.True(ok)
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Field, tt.field)
			is.Equal(faults[0].File, file)
		})
	}
}

func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/*/settings/*.json")
	is.NoErr(err)
	is.True(len(files) >= 3)
	for _, file := range files {
		s, err := keelconfig.Load(file)
		is.NoErr(err)
		is.Equal(filepath.Base(file), string(s.Instance)+".json")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := keelconfig.Parse(data)
		if err == nil && len(s.Check()) > 0 {
			t.Fatalf("accepted settings have faults: %v", s.Check())
		}
	})
}
