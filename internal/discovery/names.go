package discovery

import (
	"slices"
	"strings"
)

// maxCachedNames bounds the cache of a nameIndex, as the director may send any number of names.
const maxCachedNames = 1024

// nameIndex maps the name of a zone or kind to its index. It is not safe for concurrent use.
type nameIndex struct {
	names  []string       // names from the settings, in their order
	cached map[string]int // index by the director's name
}

func newNameIndex(names []string) nameIndex { return nameIndex{names: names, cached: map[string]int{}} }

// index returns the index of a zone or kind, or 0 if its name is unknown. The director may send the complete name, or the
// part of it after a dash.
func (x *nameIndex) index(directorName []byte) int {
	if i, ok := x.cached[string(directorName)]; ok {
		return i
	}
	name := string(directorName)
	i := max(0, slices.IndexFunc(x.names, func(n string) bool { return n == name || strings.HasSuffix(n, "-"+name) }))
	if len(x.cached) < maxCachedNames {
		x.cached[name] = i
	}
	return i
}
