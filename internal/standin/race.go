//go:build race

package standin

func init() { raceDetector = true }
