package drill

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"
)

//go:embed scenarios/*.star
var library embed.FS

// LibraryScenario names and describes a scenario of the library.
type LibraryScenario struct{ Name, Description string }

// List returns the scenarios of the library, each with the first line of its file as a description.
func List() (scenarios []LibraryScenario, err error) {
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
		scenarios = append(scenarios, LibraryScenario{name, strings.TrimPrefix(first, "# ")})
	}
	return scenarios, nil
}

// Find loads a scenario of the library by its name, or a file by its path.
func Find(name string, size Size) (*Scenario, error) {
	if text, err := library.ReadFile("scenarios/" + name + ".star"); err == nil {
		return Load(name+".star", text, size)
	}
	s, err := Load(name, nil, size)
	if err != nil && !strings.HasSuffix(name, ".star") {
		return nil, fmt.Errorf("no scenario of this name in the library, and it can't be loaded as a file: %w", err)
	}
	return s, err
}
