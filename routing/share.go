package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CapacityShare returns how many of an upstream's limit units (slots or
// connections) the entry host self may use. hosts are the names of the entry
// hosts, including self. The hosts divide the limit without communicating: as
// long as their lists agree, the shares add up to the limit. Which hosts get the
// remainder depends on a hash of the upstream's name, so that it is spread over
// the hosts.
func CapacityShare(limit int, upstream, self string, hosts []string) int {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	n := len(sorted)
	rank, found := slices.BinarySearch(sorted, self)
	if !found || n == 0 {
		return 0
	}
	offset := int(xxhash.Sum64String(upstream) % uint64(n))
	rotatedRank := (rank - offset + n) % n
	share := limit / n
	if rotatedRank < limit%n {
		share++
	}
	return share
}
