package settings

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const validSettings = `{"id": "entry-0", "failure_domain": "catania", "region": "sicily",
 "log": "127.0.0.1:7100", "host_list": "127.0.0.1:7101", "peer": "127.0.0.1:7002",
 "control": "127.0.0.1:7001", "entry": "127.0.0.1:7000", "entry_peer": "127.0.0.1:7003",
 "trace": {"file": "stdout", "ratio": 0.1}, "log_level": "info"}`

func TestParse(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		message  string
	}{
		{"unknown key", `"id"`, `"ident"`, "ident: "},
		{"no id", `"id": "entry-0"`, `"id": ""`, "id: "},
		{"domain in capitals", `"catania"`, `"Catania"`, "failure_domain: "},
		{"no region", `"region": "sicily",`, ``, "region: "},
		{"no log", `"log": "127.0.0.1:7100",`, ``, "log: "},
		{"log by name", `"127.0.0.1:7100"`, `"localhost:7100"`, "log: "},
		{"port zero", `"127.0.0.1:7000"`, `"127.0.0.1:0"`, "entry: "},
		{"port too high", `"127.0.0.1:7000"`, `"127.0.0.1:70000"`, "entry: "},
		{"same address twice", `"127.0.0.1:7003"`, `"127.0.0.1:7000"`, "another address than entry"},
		{"ratio above one", `"ratio": 0.1`, `"ratio": 1.1`, "trace.ratio: 1.1 is not allowed; want 0 to 1"},
		{"ratio a string", `"ratio": 0.1`, `"ratio": "all"`, "trace.ratio: "},
		{"retention too short", `"log_level"`, `"log_retention_seconds": 59, "log_level"`, "log_retention_seconds: "},
		{"level", `"info"`, `"loud"`, "log_level: "},
		{"not an object", validSettings, `[]`, "document: "},
		{"empty", validSettings, ``, "document: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.new, 1)
			must.NotEq(t, validSettings, text)
			h, err := Parse([]byte(text))
			must.ErrorContains(t, err, c.message)
			must.Eq(t, Host{}, h)
		})
	}
	h, err := Parse([]byte(validSettings))
	must.NoError(t, err)
	must.Eq(t, "entry-0", h.ID)
}
