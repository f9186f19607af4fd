package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDaysMakesItsFolder(t *testing.T) {
	out := filepath.Join(t.TempDir(), "new", "days")
	must.NoError(t, (&daysCmd{Seed: 3, Days: 2, Focus: "any", Out: out}).Run())
	files, err := os.ReadDir(out)
	must.NoError(t, err)
	must.Len(t, 2, files)

	file := filepath.Join(t.TempDir(), "file")
	must.NoError(t, os.WriteFile(file, nil, 0o600))
	must.ErrorContains(t, (&daysCmd{Seed: 3, Days: 1, Focus: "any", Out: filepath.Join(file, "days")}).Run(), "--out")
}
