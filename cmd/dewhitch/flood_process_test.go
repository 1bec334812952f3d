package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"dewhitch/internal/standin/hostile"
)

// floodVariable is the environment variable that makes the test program run the clients of a flood and no tests. It holds a floodSpec in
// JSON.
const floodVariable = "DEWHITCH_TEST_FLOOD"

// floodSpec is what the process of a flood is told.
type floodSpec struct {
	Deployment      hostile.Deployment
	Name            string // of the flood
	Clients         int
	FirstConnection uint64 // number of the first connection; customers and ids follow from the numbers
}

// runFloodProcess runs the clients that floodVariable describes until the standard input ends, and prints the number of bytes they read.
func runFloodProcess(text string) error {
	var spec floodSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return err
	}
	flood, found := hostile.FloodNamed(spec.Name)
	if !found {
		return fmt.Errorf("there is no flood named %q", spec.Name)
	}
	hostile.NumberConnectionsFrom(spec.FirstConnection)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		io.Copy(io.Discard, os.Stdin)
	}()
	fmt.Println(hostile.RunFlood(ctx, spec.Deployment, flood, spec.Clients))
	return nil
}

// runFlood runs the clients of a flood in a process of their own until the context ends, and returns the number of bytes they read. In the
// process of the test they would delay the stand-ins and the clients whose answers the test times.
func runFlood(ctx context.Context, spec floodSpec) (bytesRead int64, err error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	executable, err := os.Executable()
	if err != nil {
		return 0, err
	}
	cmd := exec.Command(executable)
	cmd.Env = append(os.Environ(), floodVariable+"="+string(text))
	var output strings.Builder
	cmd.Stdout, cmd.Stderr = &output, os.Stderr
	input, err := cmd.StdinPipe() // ends with this process, too
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	<-ctx.Done()
	input.Close()
	if err := cmd.Wait(); err != nil {
		return 0, err
	}
	_, err = fmt.Sscan(output.String(), &bytesRead)
	return bytesRead, err
}
