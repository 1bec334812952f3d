package drill

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"dewhitch/internal/standin"
)

// readMetric reads the value of one metric from a process's operators' address.
func readMetric(address, name string) (float64, error) {
	answer, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	for s := bufio.NewScanner(answer.Body); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), name+" "); ok {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, fmt.Errorf("%s has no metric %s", address, name)
}

// tickHz is the number of ticks per second in the processor times of /proc on Linux.
const tickHz = 100

// cpuTime returns the processor time that a running process has used, from /proc/PID/stat.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the process's name, in parentheses, may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields after the name; expected 13 or more", pid, len(fields))
	}
	ticks := 0
	for _, field := range fields[11:13] { // user time and system time
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / tickHz, nil
}

// residentMB returns the resident memory of a process in MB, or 0 if it can't be read.
func residentMB(p *standin.Process) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Program().Cmd.Process.Pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}
