package event

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

// TestCatalogueMatchesDocs checks that the declared events and the table in
// docs/EVENTS.md are the same.
func TestCatalogueMatchesDocs(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	must.NoError(t, err)
	row := regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`)
	documented := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		documented[fmt.Sprintf("%s %s %s", m[1], m[2], m[3])] = true
	}
	for _, e := range Catalogue() {
		key := fmt.Sprintf("%d %s %s", e.Number, e.Level, e.Text)
		must.True(t, documented[key], must.Sprintf("not in docs/EVENTS.md: %s", key))
		delete(documented, key)
	}
	must.MapEmpty(t, documented)
}
