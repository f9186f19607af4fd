package configuration

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzReadBack: a configuration that was taken, read back and sent again is taken, and is the same.
func FuzzReadBack(f *testing.F) {
	f.Add(Replace, body(9))
	f.Add(Replace, append(body(9), " \n\t"...))
	f.Add(Replace, append(body(9), '}'))
	f.Add(Patch, []byte(`{"version":9,"upsert":{"tenants":[{"name":"t3","api-keys":["<k>&"],"isolated":true}]},"remove":{"routes":["r2"]}}`))
	f.Fuzz(func(t *testing.T, kind string, text []byte) {
		taken, _, err := (&State{Version: 5, Body: body(5)}).Apply(&Order{Kind: kind, IfVersion: 5, Body: text})
		if err != nil {
			return
		}
		must.True(t, json.Valid(taken.Body))
		again, result, err := (&State{}).Apply(&Order{Kind: Replace, Body: taken.Body})
		must.NoError(t, err)
		must.Eq(t, Applied, result)
		must.Eq(t, string(taken.Body), string(again.Body))
		before, err := Parse(taken.Body)
		must.NoError(t, err)
		after, err := Parse(again.Body)
		must.NoError(t, err)
		must.Eq(t, before, after)
	})
}
