package drill

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"
)

//go:embed scenarios/*.star
var library embed.FS

// Named is one scenario of the library.
type Named struct{ Name, About string }

// List returns the scenarios of the library, each with the first line of its file as a description.
func List() (all []Named, err error) {
	files, err := fs.Glob(library, "scenarios/*.star")
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		text, err := library.ReadFile(f)
		if err != nil {
			return nil, err
		}
		first, _, _ := strings.Cut(string(text), "\n")
		name := strings.TrimSuffix(strings.TrimPrefix(f, "scenarios/"), ".star")
		all = append(all, Named{name, strings.TrimPrefix(first, "# ")})
	}
	return all, nil
}

// Find loads a scenario of the library by its name, or a file by its path.
func Find(name string, size Size) (*Scenario, error) {
	if text, err := library.ReadFile("scenarios/" + name + ".star"); err == nil {
		return Load(name+".star", text, size)
	}
	s, err := Load(name, nil, size)
	if err != nil && !strings.HasSuffix(name, ".star") {
		return nil, fmt.Errorf("no scenario of that name in the library, and as a file: %w", err)
	}
	return s, err
}
