//go:build review

package main

// playSpoilt has one worker break off its answer to one item of a batch submission, after bytes that
// are no event.
func playSpoilt(s *site, trouble bool) (bool, error) {
	if trouble {
		for _, w := range s.workers {
			if w.model != "" {
				w.setSpoilt(1)
				break
			}
		}
	}
	return s.runLot("lot-1")
}
