package gossip

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"github.com/hashicorp/memberlist"
)

// readKeyring reads a file with a base64 key per line. It returns nil if the path is empty.
func readKeyring(path string) (*memberlist.Keyring, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys [][]byte
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err != nil {
			return nil, fmt.Errorf("gossip: %s:%d is not base64", path, i+1)
		}
		keys = append(keys, key)
	}
	return memberlist.NewKeyring(keys, keys[0])
}
