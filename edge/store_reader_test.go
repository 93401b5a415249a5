package edge

import (
	"testing"
	"time"
)

// TestLostStoreIsNoticedWithinTheDrainTime guards against hosts that use an upstream
// that is gone, since the readers that they follow have lost the store and wait for it.
// The bounds are the shortest of the deployments.
func TestLostStoreIsNoticedWithinTheDrainTime(t *testing.T) {
	const contact, drain, reconnect = 4 * time.Second, 3 * time.Second, 500 * time.Millisecond
	if noticed := time.Duration((watchWaitShare + watchSlackShare) * float64(contact)); noticed+reconnect > drain {
		t.Errorf("a reader notices it after %v", noticed)
	}
}
