package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"moleshift/internal/golden"
)

const good = `{"name":"n1","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"more":[1],
"known":{"generation":41,"reset":true,"instances":[
{"instanceId":"s-1","hostPort":"127.0.0.2:7070","zone":"a","cell":0,"lifecycle":"in_service","startedAtMs":12.5}]},
"settings":{"tick":5,"zone":1,"zones":["a","b"],"caps":{"connect_timeout":250,"conn_idle":30000,"open_cap":131},
"classes":[{"name":"search","aim":1000,"deadline":2500,"effect":"repeatable","worth":1}],
"family_info":{"sets":3,"slices":18,"span":1,"second_step":[0]},"tenants":[{"name":"t"}]}}`

// Each fault is a good configuration with one thing changed; what is kept is the line that the user sees.
func TestFaults(t *testing.T) {
	dir, out := t.TempDir(), &strings.Builder{}
	path := filepath.Join(dir, "config.json")
	env := func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] }
	_, err := Load(func(string) string { return "" })
	fmt.Fprintf(out, "no variable\n  %v\n", err)
	_, err = Load(env)
	fmt.Fprintf(out, "no file\n  %v\n", strings.ReplaceAll(err.Error(), path, "FILE"))
	for _, change := range []string{
		`"name":"n1"=>"name":"n2"`, `{"name"=>{"name`, `"sockets":256=>"sockets":"many"`, `"sockets":256=>"sockets":8`,
		`"memory_mb":64=>"memory_mb":1`, `"cores":0.5=>"cores":0`, `"listen":"127.0.0.1:7070"=>"listen":"here"`,
		`"discovery":"127.0.0.1:8500",=>`, `"settings"=>"unsettled"`, `"tick":5=>"tick":0`, `"zone":1=>"zone":2`,
		`"tick":5=>"tick":[5]`, `"connect_timeout":250=>"connect_timeout":-1`, `"name":"search"=>"name":""`,
		`"aim":1000=>"aim":0`, `"effect":"repeatable"=>"effect":"odd"`, `"second_step":[0]=>"second_step":[2]`,
		`"slices":18=>"slices":0`, `"sets":3=>"need_by_class":[1.5],"sets":3`, `"span":1=>"min_share":[0],"span":1`,
		`"instanceId":"s-1"=>"instanceId":""`, `"in_service"=>"asleep"`, `"cell":0=>"cell":-1`,
		`"instanceId":"s-1"=>"instanceId":7`, `"open_cap":131=>"open_cap":-1`, `"name":"n1"=>"log_level":"loud"`,
	} {
		old, new, _ := strings.Cut(change, "=>")
		if !strings.Contains(good, old) {
			t.Fatalf("%q is not in the configuration", old)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(good, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(env)
		word := "taken"
		if err != nil {
			word = strings.ReplaceAll(err.Error(), path, "FILE")
		}
		fmt.Fprintf(out, "%s\n  %s\n", change, word)
	}
	golden.Check(t, "faults", out.String())
}

func TestWhatIsRead(t *testing.T) {
	c, err := decode([]byte(good), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "read", string(text)+"\n")
}
