package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/shoenig/test/must"
)

const example = `
node-name: "edge-a-1"
role: "node"
ip: "127.0.0.1"
zone: "zone.a"
region: "r"
zones:
  zone.a: "r"
  zone.b: "r"
listen:
  front: "127.0.0.1:8388"
  ready: "127.0.0.1:8384"
  control: "127.0.0.1:8381"
port-range: [7560, 7575]
seeds: ["127.0.0.1:8381", "127.0.0.2:8381"]
bootstrap: true
counts-for-quorum: true
something-new: {deep: [1, 2]}
limits: {cpu-share: 0.72, memory-mb: 284, max-fds: 4100}
data-dir: "/data/node"
bounds: {fail-closed: true, revoke-ms: 4000, lease-ms: 2500.5}
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(example))
	must.NoError(t, err)
	must.Eq(t, "r", s.Zones["zone.a"], must.Sprint("names may hold dots"))
	must.True(t, s.Bounds.FailClosed)
	must.Eq(t, 2500.5, s.Bounds.LeaseMs)
	must.Eq(t, 2000, s.Bounds.DrainMs, must.Sprint("a key that is not there has its default"))
	must.Eq(t, "127.0.0.1:7560", s.PeerAddress())
	must.Eq(t, []string{"127.0.0.1:7560", "127.0.0.2:7560"}, s.SeedPeers())
}

func TestFaultsNameKeyValueAndRemedy(t *testing.T) {
	for name, c := range map[string]struct{ from, to, key, value string }{
		"no name":          {`node-name: "edge-a-1"`, `node-name: ""`, "node-name", "empty"},
		"no address":       {`ip: "127.0.0.1"`, `ip: "here"`, "ip", "here"},
		"ports turned":     {`[7560, 7575]`, `[7575, 7560]`, "port-range", "7575 7560"},
		"listen":           {`127.0.0.1:8388`, `127.0.0.1`, "listen.front", "127.0.0.1"},
		"port too high":    {`"127.0.0.1:8384"`, `"127.0.0.1:84840"`, "listen.ready", "84840"},
		"seed by name":     {`"127.0.0.2:8381"`, `"seed:8381"`, "seeds", "seed:8381"},
		"no memory":        {`memory-mb: 284`, `memory-mb: 0`, "limits.memory-mb", "0"},
		"bound of 0":       {`revoke-ms: 4000`, `revoke-ms: 0`, "bounds.revoke-ms", "0"},
		"a text as number": {`revoke-ms: 4000`, `revoke-ms: soon`, "wrong type", "revoke-ms"},
		"no YAML":          {`role: "node"`, "role: [", "YAML", ""},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, example, c.from)
			_, err := Parse([]byte(strings.Replace(example, c.from, c.to, 1)))
			must.True(t, trace.IsBadParameter(err))
			must.StrContains(t, err.Error(), c.key)
			must.StrContains(t, err.Error(), c.value)
		})
	}
}

func TestLoad(t *testing.T) {
	_, err := Load("")
	must.ErrorContains(t, err, Variable)
	_, err = Load(filepath.Join(t.TempDir(), "nowhere.yaml"))
	must.True(t, trace.IsNotFound(err))
	path := filepath.Join(t.TempDir(), "local.yaml")
	must.NoError(t, os.WriteFile(path, []byte(example), 0o600))
	s, err := Load(path)
	must.NoError(t, err)
	must.Eq(t, "edge-a-1", s.NodeName)
}

func TestReloader(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.yaml")
	must.NoError(t, os.WriteFile(path, []byte(example), 0o600))
	s, err := Load(path)
	must.NoError(t, err)
	r := NewReloader(path, s)
	must.Eq(t, s.SeedPeers(), r.SeedPeers())
	must.NoError(t, os.WriteFile(path, []byte(strings.Replace(example, "127.0.0.2:8381", "127.0.0.9:8381", 1)), 0o600))
	must.Eq(t, []string{"127.0.0.1:7560", "127.0.0.9:7560"}, r.SeedPeers())
	must.NoError(t, os.WriteFile(path, []byte("node-name: ["), 0o600))
	must.Eq(t, []string{"127.0.0.1:7560", "127.0.0.9:7560"}, r.SeedPeers(), must.Sprint("a file that cannot be read changes nothing"))
	must.NoError(t, os.Remove(path))
	must.Len(t, 2, r.SeedPeers())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse(text); err == nil {
			must.NotEq(t, "", s.PeerAddress())
		}
	})
}

func TestMetricsAt(t *testing.T) {
	for text, ok := range map[string]bool{"": false, "9100/metrics": true, "9100": false, "x/metrics": false, "70000/m": false} {
		s := Settings{IP: "10.0.0.1", Metrics: text}
		address, path, told := s.MetricsAt()
		must.Eq(t, ok, told, must.Sprint(text))
		if ok {
			must.Eq(t, "10.0.0.1:9100", address)
			must.Eq(t, "/metrics", path)
		}
	}
}
