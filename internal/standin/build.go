package standin

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// raceDetector is true if this program was built with the race detector.
var raceDetector bool

// Build builds one of the project's commands, such as dewhitch, into a folder and returns the program's path. It builds with the
// race detector if the caller was built with it. A build error contains the compiler's output.
func Build(dir, command string) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	if err := openSources(filepath.Dir(strings.TrimSpace(string(mod)))); err != nil {
		return "", err
	}
	program := filepath.Join(dir, command)
	args := []string{"build", "-o", program}
	if raceDetector {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "dewhitch/cmd/"+command)...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("standin: %w: %s", err, out)
	}
	return program, nil
}

// openSources opens each source file, so that a cached test result depends on it: go test tracks the files that a test opens, but
// not the sources of a program that the test builds and starts.
func openSources(root string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name := d.Name(); d.IsDir() && (name == "bin" || name == "journal" || strings.HasPrefix(name, ".")) {
			return filepath.SkipDir
		}
		if ext := filepath.Ext(path); ext == ".go" || ext == ".mod" || ext == ".json" {
			if f, err := os.Open(path); err == nil {
				f.Close()
			}
		}
		return nil
	})
}
