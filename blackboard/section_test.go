package blackboard_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/blackboard"
)

// TestWatchMissesNoChange guards against a reader that waits forever because
// the value changed between its read and its wait.
func TestWatchMissesNoChange(t *testing.T) {
	section := blackboard.New(1)
	value, changed := section.Watch()
	section.Store(2)
	<-changed
	if diff := cmp.Diff([]int{1, 2}, []int{value, section.Load()}); diff != "" {
		t.Errorf("values (-want +got):\n%s", diff)
	}
}
