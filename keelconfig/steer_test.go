package keelconfig_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/matryer/is"
)

const validSteer = `{"name":"e","role":"entry","domain":"d","region":"r","address":"10.0.0.1","regions":{"d":"r"},
"listen":{"caller":"10.0.0.1:1","ready":"10.0.0.1:2","lookup":"","control":""},"peer_port":7,"seeds":["10.0.0.2:3"],
"data_dir":"","peer_trust":"unverified","timing":{"heartbeat_ms":1500,"grace_s":6,"lookup_ttl_s":5},
"bounds":{"retry_ratio":0.2,"retry_slack":120,"retry_window_s":10,"max_shift":0.15}}`

func TestLoadSteer(t *testing.T) {
	tests := []struct{ name, old, new, field string }{
		{"log level", `{"name"`, `{"log_level":"loud","name"`, "log_level"},
		{"good", "", "", ""},
		{"unknown role", `"entry"`, `"guest"`, "role"},
		{"no trust named", `"unverified"`, `""`, "peer_trust"},
		{"no seeds", `["10.0.0.2:3"]`, `[]`, "seeds"},
		{"control without a folder", `"role":"entry"`, `"role":"control"`, "data_dir"},
		{"no caller port", `"caller":"10.0.0.1:1"`, `"caller":""`, "listen"},
		{"no grace", `"grace_s":6`, `"grace_s":0`, "timing"},
		{"unknown field", `"name"`, `"nick"`, "nick"},
		{"negative link rate", `{"name"`, `{"link_mbps":-1,"name"`, "link_mbps"},
		{"negative memory", `{"name"`, `{"memory_mb":-1,"name"`, "memory_mb"},
		{"negative bound", `"retry_ratio":0.2`, `"retry_ratio":-1`, "bounds"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(validSteer, tt.old, tt.new, 1)), 0o600))
			_, err := keelconfig.LoadSteer(file)
			if tt.field == "" {
				is.NoErr(err)
				return
			}
			var faults keel.Faults
			is.True(errors.As(err, &faults))
			found := false
			for _, f := range faults {
				found = found || f.Field == tt.field && f.File == file
			}
			if !found {
				t.Errorf("no fault names %s: %v", tt.field, err)
			}
		})
	}
}

// TestSettingsTemplate checks that the settings template in deploy contains every
// field that is not left out when empty.
func TestSettingsTemplate(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join("..", "deploy", "settings.json"))
	is.NoErr(err)
	var s keelconfig.SteerSettings
	data, err := json.Marshal(s)
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(json.Unmarshal(data, &fields))
	for name := range fields {
		is.True(strings.Contains(string(text), `"`+name+`":`))
	}
}
