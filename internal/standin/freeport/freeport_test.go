package freeport

import "testing"

// Guards against a port that two daemons of a test get, or two test processes at the same time: the
// second daemon fails with "address already in use".
func TestNoPortIsGivenOutTwice(t *testing.T) {
	var allocators [3]Allocator // as in three processes
	seen := map[int]bool{}
	for i := range 3 * 250 { // the same port was drawn twice in this many with near certainty
		port, err := allocators[i%3].Next(2)
		if err != nil {
			t.Fatal(err)
		}
		if seen[port] {
			t.Errorf("port %d was given out twice", port)
		}
		if port < firstPort || port >= firstPort+portCount {
			t.Errorf("port %d is out of range", port)
		}
		seen[port] = true
	}
	for i := range allocators {
		allocators[i].Close()
	}
}
