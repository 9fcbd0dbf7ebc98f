package downstream

import "testing"

func TestEveryReasonHasAText(t *testing.T) {
	for why := closedByClient; why <= invalidFields; why++ {
		if int(why) >= len(reasonTexts) || why.String() == "" {
			t.Errorf("reason %d has no text", why)
		}
	}
}
