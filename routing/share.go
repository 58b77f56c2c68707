package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CapacityShare returns how many of limit units of an upstream the entry host self may
// use. The hosts (entry hosts' names, self included) divide the limit without
// talking to each other: as long as their lists agree, the shares add up to
// the limit. The remainder rotates by the upstream's name, so that it is
// spread over the hosts.
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
