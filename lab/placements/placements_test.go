package placements

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const log = `   0.5000 edge-a-1 {"level":"debug","instance":"i1","reason":"home of the prompt","salt":"m@1","prompt":"p","shared-tokens":6000,"kept-tokens":0,"fetched-tokens":0,"saved":true,"message":"request sent"}
   0.6000 edge-a-1 {"level":"info","message":"something else"}
a line without JSON
   2.0000 edge-b-1 {"level":"debug","instance":"i1","reason":"keeps the parts","salt":"m@1","prompt":"p","shared-tokens":6000,"kept-tokens":6000,"fetched-tokens":0,"message":"request sent"}
   0.9000 edge-b-2 {"level":"debug","instance":"i2","reason":"least load","salt":"m@1","prompt":"p","shared-tokens":6000,"kept-tokens":2500,"fetched-tokens":0,"message":"request sent"}
  20.0000 edge-a-1 {"level":"debug","instance":"i3","reason":"least load","salt":"m@1","prompt":"p","shared-tokens":6000,"kept-tokens":0,"fetched-tokens":6500,"message":"request sent"}
  20.1000 edge-a-1 {"level":"debug","instance":"i3","reason":"least load","salt":"m@2","prompt":"p","shared-tokens":6000,"kept-tokens":0,"fetched-tokens":0,"message":"request sent"}
  20.2000 edge-a-1 {"level":"debug","instance":"i3","reason":"least load","salt":"m@2","prompt":"q","shared-tokens":100,"kept-tokens":0,"fetched-tokens":0,"message":"request sent"}
`

func TestCount(t *testing.T) {
	list, err := Read(strings.NewReader(log))
	must.NoError(t, err)
	must.Len(t, 6, list)
	table := Count(list, 1000)
	must.Eq(t, 5, table.Requests)
	must.Eq(t, 2, table.Prompts, must.Sprint("told apart by salt"))
	must.Eq(t, map[string]int{"home of the prompt": 1, "keeps the parts": 1, "least load": 3}, table.Reasons)
	must.Eq(t, 1, table.Saves)
	must.Eq(t, 8500, table.Kept)
	must.Eq(t, 6000, table.Fetched)
	must.Eq(t, 12000, table.ReadFirst)
	must.Eq(t, 3500, table.Again)
	must.Eq(t, Age{Until: time.Second, Requests: 1, ReadAgain: 1}, table.Ages[0])
	must.Eq(t, Age{Until: 2 * time.Second, Requests: 1}, table.Ages[1], must.Sprint("another server than that of the last use"))
	must.Eq(t, Age{Requests: 1}, table.Ages[len(table.Ages)-1])
	var text strings.Builder
	table.Write(&text)
	must.StrContains(t, text.String(), "read for the first time 0.01, read again 0.00")
}

// Logs without the bench's seconds are placed by the time that the router wrote.
func TestReadPlainLogs(t *testing.T) {
	list, err := Read(strings.NewReader(`{"time":"2026-12-02T10:00:05Z","prompt":"p","message":"request sent"}
{"time":"2026-12-02T10:00:07Z","prompt":"p","message":"request sent"}`))
	must.NoError(t, err)
	must.Len(t, 2, list)
	must.Eq(t, 2*time.Second, list[1].At-list[0].At)
	other, err := Read(strings.NewReader(`{"time":"2026-12-02T10:00:06Z","prompt":"p","message":"request sent"}`))
	must.NoError(t, err)
	must.Eq(t, time.Second, other[0].At-list[0].At, must.Sprint("another router's log"))
	_, err = Read(strings.NewReader(strings.Repeat("x", longestLine+1)))
	must.ErrorContains(t, err, "a log line of over")
}
