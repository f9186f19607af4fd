package delta

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func large(routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","path-prefix":"/%x/%x/"},`, i*7919, i%97, i*104729, i)
	}
	return b.Bytes()
}

func TestChangeIsSmall(t *testing.T) {
	base := large(3000)
	next := append([]byte(`{"version":7}`), base...)
	copy(next[len(next)/2:], "changed")
	c := Change(base, next)
	must.Eq(t, Against, c.Form)
	must.Less(t, 1000, len(c.Data))
	must.Less(t, len(base)/4, len(Whole(base).Data))
	data, err := c.Open(base)
	must.NoError(t, err)
	must.Eq(t, next, data)
	_, err = c.Open(next)
	must.ErrorIs(t, err, ErrNoBase)
	_, err = c.Open(nil)
	must.ErrorIs(t, err, ErrNoBase)
}

// A content that was damaged on its way is told from a whole one.
func TestDamagedContents(t *testing.T) {
	base := large(100)
	next := append(bytes.Clone(base), "more"...)
	for _, c := range []*Content{Whole(base), Change(base, next), Whole([]byte("short"))} {
		for i := range c.Data {
			damaged := *c
			damaged.Data = bytes.Clone(c.Data)
			damaged.Data[i] ^= 0x10
			data, err := damaged.Open(base)
			if err == nil {
				must.Eq(t, c.Hash, Hash(data), must.Sprint("what is opened is what was meant"))
			}
		}
	}
	_, err := (&Content{Form: 9}).Open(nil)
	must.Error(t, err)
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		data := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "data")
		for _, c := range []*Content{Whole(data), Change(base, data)} {
			back, err := c.Open(base)
			must.NoError(t, err)
			must.True(t, bytes.Equal(data, back))
		}
	})
}

// Many readers of one change cost one writing, and one that has another content gets the whole.
func TestWriterRemembers(t *testing.T) {
	var w Writer
	first, second := large(100), append(large(100), "more"...)
	had := w.Learn(first)
	c := w.Write(second, had)
	must.Eq(t, Against, c.Form)
	must.True(t, c == w.Write(second, had))
	whole := w.Write(second, []byte("unknown"))
	must.NotEq(t, Against, whole.Form)
	must.True(t, whole == w.Write(second, nil))
	for i := range 2 * remembered {
		w.Learn(large(101 + i))
	}
	must.NotEq(t, Against, w.Write(second, had).Form, must.Sprint("what was long ago is forgotten"))
}
