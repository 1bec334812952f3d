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

// Parts of the names of snapshot files, and bounds on reading and claiming them. Their folder may hold other files too.
const (
	fileSuffix       = ".snapshot"
	temporarySuffix  = ".part"
	maxFilesRead     = 8    // maximum number of snapshots that are read at the start, the newest first
	maxFileNames     = 4096 // maximum number of file names that are read from the folder
	maxClaimAttempts = 64   // maximum number of incarnations that a process tries to claim when others do so at the same time
)

// filePrefix returns the prefix of the names of a node's snapshot files.
func filePrefix(node string) string { return "dewhitch-" + filepath.Base(node) + "." }

// incarnations returns the incarnations of a node for which the folder has files, the newest first.
func incarnations(dir, node string) ([]uint64, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	names, err := d.Readdirnames(maxFileNames)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	var all []uint64
	for _, name := range names {
		if incarnation, ok := incarnationOf(node, name); ok {
			all = append(all, incarnation)
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return all, nil
}

// incarnationOf parses the incarnation in a file's name. It returns false if the name is not that of a snapshot of the node.
func incarnationOf(node, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, filePrefix(node))
	if !ok {
		return 0, false
	}
	if digits, ok = strings.CutSuffix(digits, fileSuffix); !ok {
		return 0, false
	}
	incarnation, err := strconv.ParseUint(digits, 16, 64)
	return incarnation, err == nil && incarnation > 0
}

func filePath(dir, node string, incarnation uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x%s", filePrefix(node), incarnation, fileSuffix))
}

// Read reads and decodes one file, of which it reads at most MaxSize+1 bytes. It returns the errors of Decode, or that of
// reading the file.
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

// Found is the result of Latest.
type Found struct {
	Generation
	Image    *Image  // newest complete snapshot; nil if there is none
	Rejected []error // for each newer file that can't be used, the reason
}

// Latest finds the newest complete snapshot of a node. It fails if the folder can't be read. Files that were claimed but never
// written are skipped without an entry in Rejected.
func Latest(dir, node string) (Found, error) {
	all, err := incarnations(dir, node)
	if err != nil {
		return Found{}, err
	}
	var found Found
	for _, incarnation := range all[:min(len(all), maxFilesRead)] {
		path := filePath(dir, node, incarnation)
		g, m, err := Read(path)
		if err == nil && g.Incarnation != incarnation {
			err = fmt.Errorf("%w: incarnation %d in a file named for another incarnation", ErrBroken, g.Incarnation)
		}
		if err == nil {
			found.Generation = g
			found.Image = m
			break
		}
		if !errors.Is(err, ErrEmpty) && !errors.Is(err, fs.ErrNotExist) {
			found.Rejected = append(found.Rejected, fmt.Errorf("%s: %w", filepath.Base(path), err))
		}
	}
	return found, nil
}

// Writer writes the snapshots of one process, all to the file of its incarnation. It is not safe for concurrent use.
type Writer struct {
	dir         string
	node        string
	last        Generation // generation of the last write; its number is 0 before the first
	startedFrom Generation // generation of the snapshot that this process started from
	buf         []byte     // buffer of the encoder, reused by each write
}

// Claim starts a new incarnation, greater than that of startedFrom and than all incarnations that have a file in the folder.
// It creates the file of the incarnation exclusively, so that no two processes get the same one.
func Claim(dir, node string, startedFrom Generation) (*Writer, error) {
	all, err := incarnations(dir, node)
	if err != nil {
		return nil, err
	}
	incarnation := startedFrom.Incarnation
	if len(all) > 0 {
		incarnation = max(incarnation, all[0])
	}
	for range maxClaimAttempts {
		incarnation++
		f, err := os.OpenFile(filePath(dir, node, incarnation), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err == nil {
			return &Writer{dir: dir, node: node, last: Generation{Incarnation: incarnation}, startedFrom: startedFrom}, f.Close()
		}
		if !errors.Is(err, fs.ErrExist) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("snapshot: the next %d incarnations are all claimed by other processes", maxClaimAttempts)
}

// LastGeneration returns the generation of the last write; its number is 0 before the first.
func (w *Writer) LastGeneration() Generation { return w.last }

// Write replaces the file of this incarnation atomically: after a crash at any time it holds the new or the previous snapshot.
// The first write also removes the files of old incarnations. Write returns the snapshot's size in bytes; the snapshot is
// durable when it returns without an error.
func (w *Writer) Write(m *Image) (size int, err error) {
	next := Generation{w.last.Incarnation, w.last.Number + 1}
	if w.buf, err = Encode(w.buf[:0], next, m); err != nil {
		return 0, err
	}
	path := filePath(w.dir, w.node, next.Incarnation)
	if err := durable.Replace(durable.Disk, path+temporarySuffix, path, w.buf); err != nil {
		return 0, err
	}
	w.last = next
	if next.Number == 1 {
		w.prune()
	}
	return len(w.buf), nil
}

// prune removes the files of incarnations older than the one that this process started from. It keeps the file of that
// incarnation, because its process may still run and its last snapshot is the fallback.
func (w *Writer) prune() {
	all, err := incarnations(w.dir, w.node)
	if err != nil {
		return
	}
	for _, incarnation := range all {
		if incarnation < w.startedFrom.Incarnation {
			path := filePath(w.dir, w.node, incarnation)
			os.Remove(path)
			os.Remove(path + temporarySuffix)
		}
	}
}
