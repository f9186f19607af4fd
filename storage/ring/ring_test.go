package ring_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/storage/ring"
	"moleshift/storage/ring/ringtest"
)

// After every cut, at every point of a drawn run with writes that fail, each record is the one acknowledged last or one whose Put
// came later.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := ringtest.New()
		opened, err := ring.Open(d, 2048)
		must.NoError(t, err)
		acknowledged := map[string]int{} // by record: number of the last acknowledged Put
		for put := 1; put <= 60; put++ {
			name := fmt.Sprint("r", r.IntN(3))
			if r.IntN(6) == 0 {
				d.Fail(1 + r.IntN(3))
			}
			err := opened.Put(name, content(name, put, 20+r.IntN(300)))
			d.Fail(0)
			if err == nil {
				acknowledged[name] = put
				must.Eq(t, put, numberOf(opened.Get(name)))
			}
			if r.IntN(5) > 0 {
				continue
			}
			d = d.Cut(r)
			opened, err = ring.Open(d, 2048)
			must.NoError(t, err)
			for name, least := range acknowledged {
				got := numberOf(opened.Get(name))
				if got < least || got > put {
					t.Fatalf("seed %d, after put %d: record %s holds put %d, acknowledged was %d", seed, put, name, got, least)
				}
				acknowledged[name] = got
			}
		}
	}
}

func content(name string, put, size int) []byte {
	b := []byte(fmt.Sprintf("%s:%06d:", name, put))
	return append(b, bytes.Repeat([]byte{byte(put)}, size)...)
}

func numberOf(data []byte) int {
	var put int
	if data == nil {
		return 0
	}
	if _, err := fmt.Sscanf(string(data[3:9]), "%d", &put); err != nil {
		return -1
	}
	for _, b := range data[10:] {
		if b != byte(put) {
			return -1
		}
	}
	return put
}

// Records that come while a write is under way go to disk together: a Put waits for two writes at the most, however many there are.
func TestPutsThatWaitShareAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const syncTime, puts = time.Second, 20
		d := ringtest.New()
		opened, err := ring.Open(d, 1<<16)
		must.NoError(t, err)
		must.NoError(t, opened.Put("first", nil))
		d.SetWait(func() { time.Sleep(syncTime / 2) }) // of a write and of a sync
		began := time.Now()
		var all sync.WaitGroup
		for i := range puts {
			all.Go(func() { must.NoError(t, opened.Put(fmt.Sprint("r", i), content("r", i, 50))) })
		}
		all.Wait()
		must.LessEq(t, 2*syncTime, time.Since(began))
		again, err := ring.Open(d, 1<<16)
		must.NoError(t, err)
		for i := range puts {
			must.NotNil(t, again.Get(fmt.Sprint("r", i)))
		}
	})
}

// Records that were refused together and last all the same are not taken for newer than what was acknowledged after them.
func TestRefusedRecordsThatLast(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		synctest.Test(t, func(t *testing.T) {
			d := ringtest.New()
			opened, err := ring.Open(d, 4096)
			must.NoError(t, err)
			must.NoError(t, opened.Put("r0", content("r0", 1, 20)))
			d.SetWait(func() { time.Sleep(time.Millisecond) })
			var all sync.WaitGroup
			all.Go(func() { must.NoError(t, opened.Put("r1", content("r1", 1, 20))) })
			synctest.Wait()
			for i := range 2 + r.IntN(6) {
				all.Go(func() { _ = opened.Put("r0", content("r0", 2+i, 20)) })
			}
			time.Sleep(3500 * time.Microsecond) // the second write is done, its sync is not
			d.Fail(1)
			all.Wait()
			must.NoError(t, opened.Put("r0", content("r0", 99, 20)))
			again, err := ring.Open(d.Cut(r), 4096)
			must.NoError(t, err)
			must.Eq(t, 99, numberOf(again.Get("r0")), must.Sprint("seed ", seed))
		})
	}
}

// A disk that refuses writes for a while loses nothing, and takes writes again.
func TestDiskFullForAWhile(t *testing.T) {
	d := ringtest.New()
	opened, err := ring.Open(d, 1024)
	must.NoError(t, err)
	must.NoError(t, opened.Put("a", []byte("one")))
	for range 7 {
		d.Fail(1)
		must.Error(t, opened.Put("a", []byte("two")))
	}
	must.Eq(t, "one", string(opened.Get("a")))
	must.NoError(t, opened.Put("a", []byte("three")))
	again, err := ring.Open(d.Cut(rand.New(rand.NewPCG(1, 1))), 1024)
	must.NoError(t, err)
	must.Eq(t, "three", string(again.Get("a")))
}

func TestRecordThatDoesNotFitIsRefused(t *testing.T) {
	opened, err := ring.Open(ringtest.New(), 1024)
	must.NoError(t, err)
	must.Error(t, opened.Put("a", make([]byte, 2000)))
}

func TestFilesOfTheSystem(t *testing.T) {
	dir, err := ring.Folder(t.TempDir() + "/state")
	must.NoError(t, err)
	opened, err := ring.Open(dir, 4096)
	must.NoError(t, err)
	for put := 1; put <= 50; put++ {
		must.NoError(t, opened.Put("r1", content("r1", put, 200)))
	}
	again, err := ring.Open(dir, 4096)
	must.NoError(t, err)
	must.Eq(t, 50, numberOf(again.Get("r1")))
	must.Zero(t, again.Damaged())
}

// Whatever bytes a file holds, opening it neither fails nor invents a record.
func FuzzScan(f *testing.F) {
	f.Add(ring.EncodeRecord("", ring.EncodeSnapshot(map[string][]byte{"a": []byte("1")}), 7))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		d := ringtest.New()
		d.SetFile(ring.FileName(0), data)
		opened, err := ring.Open(d, 1024)
		must.NoError(t, err)
		must.NoError(t, opened.Put("b", []byte("2")))
		must.Eq(t, "2", string(opened.Get("b")))
	})
}

// Guards against a record that is vouched for and then gone: a process that is killed between the write of a record and its sync leaves one
// that the next process reads, and that a loss of power takes back unless it is synced when it is read.
func TestWhatWasReadOutlastsALossOfPower(t *testing.T) {
	vouched := 0
	for seed := range uint64(64) {
		d := ringtest.New()
		killed := d.Attach()
		opened, err := ring.Open(killed, 2048)
		must.NoError(t, err)
		must.NoError(t, opened.Put("r1", content("r1", 1, 20)))
		calls := 0
		d.SetWait(func() {
			if calls++; calls == 2 { // the first is the write, the second its sync
				killed.Detach()
			}
		})
		must.Error(t, opened.Put("r1", content("r1", 2, 20)))
		d.SetWait(nil)
		opened, err = ring.Open(d.Attach(), 2048)
		must.NoError(t, err)
		read := numberOf(opened.Get("r1"))
		vouched += read - 1
		opened, err = ring.Open(d.Cut(rand.New(rand.NewPCG(seed, 2))), 2048)
		must.NoError(t, err)
		must.Eq(t, read, numberOf(opened.Get("r1")), must.Sprint("seed ", seed))
	}
	must.Positive(t, vouched, must.Sprint("no record was written and not synced"))
}
