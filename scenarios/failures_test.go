package scenarios

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFailuresPage checks that every row of docs/FAILURES.md names at least one check
// and that each named check exists.
func TestFailuresPage(t *testing.T) {
	page, err := os.ReadFile("../docs/FAILURES.md")
	must.NoError(t, err)
	checkName := regexp.MustCompile("`([^`]+)`")
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| fault |") {
			continue
		}
		rows++
		cells := strings.Split(strings.Trim(line, "|"), "|")
		must.Len(t, 6, cells, must.Sprintf("row: %s", line))
		checks := checkName.FindAllStringSubmatch(cells[len(cells)-1], -1)
		must.SliceNotEmpty(t, checks, must.Sprintf("row without a check: %s", line))
		for _, c := range checks {
			must.True(t, checkExists(t, c[1]), must.Sprintf("no such check: %s", c[1]))
		}
	}
	must.Positive(t, rows)
}

// checkExists reports whether a check exists: a script of testdata, or a Go test given
// as "FOLDER TEST".
func checkExists(t *testing.T, check string) bool {
	dir, test, isTest := strings.Cut(check, " ")
	if !isTest {
		_, err := os.Stat(filepath.Join("testdata", check))
		return err == nil
	}
	files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
	must.NoError(t, err)
	for _, f := range files {
		text, err := os.ReadFile(f)
		must.NoError(t, err)
		if strings.Contains(string(text), "func "+test+"(t *testing.T)") {
			return true
		}
	}
	return false
}
