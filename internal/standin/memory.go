package standin

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Memory is the memory that the platform counts for a process, in bytes.
type Memory struct {
	Anonymous     int // pages of the process that no file backs
	SocketBuffers int // kernel memory of the process's TCP connections: received and unsent data, and what is reserved for more
	Files         int // files in the process's temporary folder
}

// Total returns the sum in bytes.
func (m Memory) Total() int { return m.Anonymous + m.SocketBuffers + m.Files }

// String returns the parts in KiB.
func (m Memory) String() string {
	return fmt.Sprintf("%d KiB: %d anonymous, %d in socket buffers, %d in files", m.Total()>>10, m.Anonymous>>10, m.SocketBuffers>>10,
		m.Files>>10)
}

// MeasureMemory measures the memory of a process whose temporary folder is tempDir. It returns an error if the process has ended.
func MeasureMemory(pid int, tempDir string) (m Memory, err error) {
	if m.Anonymous, err = anonymousBytes(pid); err != nil {
		return m, err
	}
	if m.SocketBuffers, err = socketBufferBytes(pid); err != nil {
		return m, err
	}
	m.Files = folderBytes(tempDir)
	return m, nil
}

// anonymousBytes returns the anonymous and shared memory of a process in bytes.
func anonymousBytes(pid int) (total int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	found := false
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name != "RssAnon" && name != "RssShmem" {
			continue
		}
		kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		if err != nil {
			return 0, fmt.Errorf("standin: memory of process %d: %w", pid, err)
		}
		found = true
		total += kib << 10
	}
	if !found {
		return 0, fmt.Errorf("standin: process %d has no memory: it has ended", pid)
	}
	return total, nil
}

// folderBytes returns the size of all files below a folder. A file that disappears meanwhile counts as empty.
func folderBytes(dir string) (total int) {
	if dir == "" {
		return 0
	}
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += int(info.Size())
		}
		return nil
	})
	return total
}

// socketBufferBytes returns the kernel memory of the buffers of a process's TCP connections.
func socketBufferBytes(pid int) (total int, err error) {
	inodes, err := socketInodes(pid)
	if err != nil {
		return 0, err
	}
	err = eachTCPSocket(func(inode uint32, buffers int) {
		if inodes[inode] {
			total += buffers
		}
	})
	return total, err
}

// socketInodes returns the inodes of a process's sockets.
func socketInodes(pid int) (map[uint32]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	inodes := map[uint32]bool{}
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(dir, entry.Name()))
		var inode uint32
		if _, err := fmt.Sscanf(target, "socket:[%d]", &inode); err == nil {
			inodes[inode] = true
		}
	}
	return inodes, nil
}

// Sizes and values of the kernel's socket diagnostics (struct inet_diag_req_v2, inet_diag_msg and sk_meminfo).
const (
	sockDiagByFamily   = 20
	diagRequestBytes   = 56
	diagMessageBytes   = 72
	diagInodeOffset    = 68
	extensionSkMemInfo = 7
	allStates          = 0xffffffff
	netlinkBufferBytes = 64 << 10
	memInfoReceived    = 0 // word of sk_meminfo: bytes of received data
	memInfoForward     = 4 // word of sk_meminfo: bytes reserved for further data; signed, and negative while data is not yet charged
	memInfoQueued      = 5 // word of sk_meminfo: bytes of data to send
)

// eachTCPSocket calls f with the inode and the buffers' memory in bytes of each TCP socket over IPv4 of the machine.
func eachTCPSocket(f func(inode uint32, buffers int)) error {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return err
	}
	defer unix.Close(fd)
	request := make([]byte, unix.NLMSG_HDRLEN+diagRequestBytes)
	header := (*unix.NlMsghdr)(unsafe.Pointer(&request[0]))
	header.Len = uint32(len(request))
	header.Type = sockDiagByFamily
	header.Flags = unix.NLM_F_REQUEST | unix.NLM_F_DUMP
	body := request[unix.NLMSG_HDRLEN:]
	body[0], body[1], body[2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(extensionSkMemInfo-1)
	binary.NativeEndian.PutUint32(body[4:], allStates)
	if err := unix.Sendto(fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return err
	}
	for buf := make([]byte, netlinkBufferBytes); ; {
		n, _, err := unix.Recvfrom(fd, buf, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return err
		}
		if done, err := parseSocketDump(buf[:n], f); done || err != nil {
			return err
		}
	}
}

// parseSocketDump calls f for each socket in a part of a dump, and reports whether it was the last part.
func parseSocketDump(part []byte, f func(inode uint32, buffers int)) (done bool, err error) {
	for len(part) >= unix.NLMSG_HDRLEN {
		length := int(binary.NativeEndian.Uint32(part))
		kind := binary.NativeEndian.Uint16(part[4:])
		if length < unix.NLMSG_HDRLEN || length > len(part) {
			return true, errors.New("standin: unreadable socket diagnostics")
		}
		switch kind {
		case unix.NLMSG_DONE:
			return true, nil
		case unix.NLMSG_ERROR:
			return true, errors.New("standin: the kernel has no socket diagnostics")
		}
		if message := part[unix.NLMSG_HDRLEN:length]; len(message) >= diagMessageBytes {
			f(binary.NativeEndian.Uint32(message[diagInodeOffset:]), memInfoBytes(message[diagMessageBytes:]))
		}
		part = part[min(len(part), (length+3)&^3):]
	}
	return false, nil
}

// memInfoBytes returns the memory of the buffers according to the attributes of a socket, in bytes.
func memInfoBytes(attributes []byte) (total int) {
	const headerBytes, wordBytes = 4, 4
	for len(attributes) >= headerBytes {
		length := int(binary.NativeEndian.Uint16(attributes))
		if length < headerBytes || length > len(attributes) {
			return total
		}
		value := bytes.NewReader(attributes[headerBytes:length])
		if binary.NativeEndian.Uint16(attributes[2:]) == extensionSkMemInfo {
			words := make([]int32, value.Len()/wordBytes)
			_ = binary.Read(value, binary.NativeEndian, words)
			for _, word := range []int{memInfoReceived, memInfoForward, memInfoQueued} {
				if word < len(words) {
					total += max(0, int(words[word]))
				}
			}
		}
		attributes = attributes[min(len(attributes), (length+3)&^3):]
	}
	return total
}

// memorySampleInterval is the time between two measurements of a MemoryWatch.
const memorySampleInterval = 20 * time.Millisecond

// MemoryWatch measures the memory of a process again and again.
type MemoryWatch struct {
	stop    chan struct{}
	stopped sync.WaitGroup
	mu      sync.Mutex
	peak    Memory
	err     error
}

// WatchMemory starts to measure the memory of a process whose temporary folder is tempDir.
func WatchMemory(pid int, tempDir string) *MemoryWatch {
	w := &MemoryWatch{stop: make(chan struct{})}
	w.stopped.Go(func() {
		for {
			m, err := MeasureMemory(pid, tempDir)
			w.mu.Lock()
			if m.Total() > w.peak.Total() {
				w.peak = m
			}
			w.err = err
			w.mu.Unlock()
			select {
			case <-w.stop:
				return
			case <-time.After(memorySampleInterval):
			}
		}
	})
	return w
}

// Peak returns the measurement with the largest total since the last call. The error is that of the last measurement.
func (w *MemoryWatch) Peak() (Memory, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	peak := w.peak
	w.peak = Memory{}
	return peak, w.err
}

// Close ends the measurements.
func (w *MemoryWatch) Close() {
	close(w.stop)
	w.stopped.Wait()
}
