// Package docs_test checks the documentation pages.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var link = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// Guards against links between pages that no longer resolve after a page was
// moved, renamed or deleted.
func TestInternalLinksResolve(t *testing.T) {
	pages := markdownFiles(t, "..")
	if len(pages) < 3 {
		t.Fatalf("found %d Markdown pages, want at least 3", len(pages))
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			target, _, _ := strings.Cut(m[1], "#")
			if target == "" || strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
				t.Errorf("%s links to %s: %v", page, m[1], err)
			}
		}
	}
}

// markdownFiles returns the paths of the Markdown files below root.
func markdownFiles(t *testing.T, root string) (pages []string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages
}
