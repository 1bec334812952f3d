package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"dewhitch/internal/durable"
)

const (
	suffix    = ".snapshot"
	temporary = ".part"
	newest    = 8    // files that are tried, the newest first
	mostFiles = 4096 // names that are looked at: the folder is shared with others
	claims    = 64   // lives that are tried, where other processes claim at the same time
)

func prefix(node string) string { return "dewhitch-" + filepath.Base(node) + "." }

// lives finds the lives of which the folder has files, the newest first.
func lives(dir, node string) ([]uint64, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	names, err := d.Readdirnames(mostFiles)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	var all []uint64
	for _, n := range names {
		if n, ok := strings.CutPrefix(n, prefix(node)); ok {
			if n, ok = strings.CutSuffix(n, suffix); ok {
				if life, err := strconv.ParseUint(n, 16, 64); err == nil && life > 0 {
					all = append(all, life)
				}
			}
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return all, nil
}

func path(dir, node string, life uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x%s", prefix(node), life, suffix))
}

// Read reads one file; nothing beyond the bounds is read.
func Read(file string) (Generation, *Image, error) {
	f, err := os.Open(file)
	if err != nil {
		return Generation{}, nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return Generation{}, nil, err
	}
	return Decode(text)
}

// Found is the newest whole snapshot of a node; Image is nil if there is none.
type Found struct {
	Generation
	Image    *Image
	Rejected []error // what was newer, and why it was not taken
}

// Latest finds the newest whole snapshot of a node. Those that are newer and not whole are told, but for such as were
// only claimed.
func Latest(dir, node string) (Found, error) {
	all, err := lives(dir, node)
	if err != nil {
		return Found{}, err
	}
	var found Found
	for _, life := range all[:min(len(all), newest)] {
		g, m, err := Read(path(dir, node, life))
		if err == nil && g.Life != life {
			err = fmt.Errorf("%w: life %d under the name of another", ErrBroken, g.Life)
		}
		if err == nil {
			found.Generation, found.Image = g, m
			break
		}
		if !errors.Is(err, ErrEmpty) && !errors.Is(err, fs.ErrNotExist) {
			found.Rejected = append(found.Rejected, fmt.Errorf("%s: %w", filepath.Base(path(dir, node, life)), err))
		}
	}
	return found, nil
}

// Writer writes the snapshots of one process. It is not safe for concurrent use.
type Writer struct {
	dir, node    string
	last, before Generation // the last write of this process; the snapshot that it started from
	buf          []byte
}

// Claim begins a new life, behind all that the folder knows of. No two processes ever get the same: the file is made by
// whoever comes first.
func Claim(dir, node string, before Generation) (*Writer, error) {
	all, err := lives(dir, node)
	if err != nil {
		return nil, err
	}
	life := before.Life
	if len(all) > 0 {
		life = max(life, all[0])
	}
	for range claims {
		life++
		f, err := os.OpenFile(path(dir, node, life), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err == nil {
			return &Writer{dir: dir, node: node, last: Generation{Life: life}, before: before}, f.Close()
		}
		if !errors.Is(err, fs.ErrExist) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("snapshot: %d lives are taken in a row", claims)
}

// Last is the last write of this process.
func (w *Writer) Last() Generation { return w.last }

// Write puts a snapshot in the place of the last one of this life, whole or not at all: a kill at any instant leaves the
// one before. What processes older than the one it started from have left is then removed.
func (w *Writer) Write(m *Image) (size int, err error) {
	next := Generation{w.last.Life, w.last.Number + 1}
	if w.buf, err = Encode(w.buf[:0], next, m); err != nil {
		return 0, err
	}
	to := path(w.dir, w.node, next.Life)
	if err := durable.Replace(durable.Disk, to+temporary, to, w.buf); err != nil {
		return 0, err
	}
	if w.last = next; next.Number == 1 {
		w.prune()
	}
	return len(w.buf), nil
}

// prune removes the files of lives before the one that this process started from: that one's process may be at work
// still, and its last snapshot is the one to go back to.
func (w *Writer) prune() {
	all, err := lives(w.dir, w.node)
	if err != nil {
		return
	}
	for _, life := range all {
		if life < w.before.Life {
			os.Remove(path(w.dir, w.node, life))
			os.Remove(path(w.dir, w.node, life) + temporary)
		}
	}
}
