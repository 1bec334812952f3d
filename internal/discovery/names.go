package discovery

import (
	"slices"
	"strings"
)

// maxCachedNames bounds the names that a nameIndex caches, as they come from outside.
const maxCachedNames = 1024

// nameIndex finds the index of a zone or kind by its name. It is not safe for concurrent use.
type nameIndex struct {
	names  []string       // the settings', in their order
	cached map[string]int // by the name as discovery has it
}

func newNameIndex(names []string) nameIndex { return nameIndex{names: names, cached: map[string]int{}} }

// index is the index of a zone or kind, 0 of one that is not known. Discovery may give the whole name, or its part after a
// dash.
func (x *nameIndex) index(text []byte) int {
	if i, ok := x.cached[string(text)]; ok {
		return i
	}
	name := string(text)
	i := max(0, slices.IndexFunc(x.names, func(n string) bool { return n == name || strings.HasSuffix(n, "-"+name) }))
	if len(x.cached) < maxCachedNames {
		x.cached[name] = i
	}
	return i
}
