package standin

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// raceDetector is whether this program was built with the race detector.
var raceDetector bool

// Build builds one of the program's commands, such as dewhitch, into a folder, and returns where it is.
//
// The sources are opened for the test cache: it follows the files that a test opens, but not what a program that it
// starts was built of, and would hand out results of an older one.
func Build(dir, command string) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
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
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, command)
	args := []string{"build", "-o", program}
	if raceDetector { // what a test starts is watched as the test is
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "dewhitch/cmd/"+command)...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("standin: %w: %s", err, out)
	}
	return program, nil
}
