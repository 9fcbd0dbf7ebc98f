package routing

import "fmt"

// SettingError is the error of New for a setting with which a Router cannot work.
type SettingError struct {
	Key     string // as in JSON, with its path
	Problem string
}

// Error is the key and what is wrong with it.
func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

func settingError(key, format string, args ...any) error {
	return &SettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// validate returns a SettingError for the first setting that cannot work. What is not checked here may hold
// anything: an unknown word counts as the most careful one, and an index out of range as none.
func (s *Settings) validate() error {
	for _, check := range []func() error{
		s.checkRequired,
		s.checkClasses,
		s.checkNotNegative,
		s.checkOwnHub,
		s.checkListLengths,
		s.checkFreshness,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkRequired() error {
	zones := len(s.Zones)
	switch {
	case len(s.Classes) == 0:
		return settingError("services", "no classes")
	case s.Zone < 0 || s.Zone >= max(zones, 1):
		return settingError("zone", "%d is not among %d dcs", s.Zone, zones)
	case s.SiteLimits.MaxAttempts < 1:
		return settingError("ceilings.maxAttempts", "%d", s.SiteLimits.MaxAttempts)
	}
	return nil
}

func (s *Settings) checkClasses() error {
	for i, class := range s.Classes {
		if class.LatencyObjective <= 0 {
			return settingError(classKey(i, "aim"), "%v, must be above 0", class.LatencyObjective)
		}
		if class.Timeout <= 0 {
			return settingError(classKey(i, "deadline"), "%v, must be above 0", class.Timeout)
		}
	}
	return nil
}

func classKey(index int, key string) string { return fmt.Sprintf("services[%d].%s", index, key) }

// number is a setting that must not be negative.
type number struct {
	key   string
	value float64
}

func (s *Settings) checkNotNegative() error {
	limits, guarantees, tiers := &s.SiteLimits, &s.Guarantees, &s.Tiers
	err := checkNumbers(
		number{"quantum", float64(s.Quantum)},
		number{"ceilings.maxRetryAfter", float64(limits.MaxRetryAfter)},
		number{"ceilings.openCap", float64(limits.MaxOpenRequests)},
		number{"guarantees.askWithin", float64(guarantees.PollWithin)},
		number{"guarantees.cold", float64(guarantees.SlowStartDuration)},
		number{"guarantees.coldFrom", guarantees.SlowStartFraction},
		number{"guarantees.drainGrace", float64(guarantees.DrainGrace)},
		number{"guarantees.fall", float64(guarantees.OverloadWindow)},
		number{"guarantees.graceToAnswer", float64(guarantees.AnswerGrace)},
		number{"guarantees.tipMultiple", guarantees.OverloadMultiple},
		number{"familyInfo.originBears", float64(tiers.OriginTolerance)},
		number{"familyInfo.parentColdFrom", tiers.ParentSlowStartFraction},
		number{"familyInfo.parentFallMultiple", tiers.ParentOverloadMultiple},
		number{"familyInfo.parentRamp", float64(tiers.ParentSlowStartDuration)},
		number{"familyInfo.purgeSlack", float64(tiers.PurgeSlack)},
		number{"familyInfo.purgeTakes", float64(tiers.PurgePropagation)},
	)
	if err != nil {
		return err
	}
	for i, class := range s.Classes {
		err := checkNumbers(
			number{classKey(i, "dedupWindow"), float64(class.DedupWindow)},
			number{classKey(i, "aimStretch"), class.LatencyObjectivePerSize},
			number{classKey(i, "worth"), class.PriorityWeight},
			number{classKey(i, "lateWorth"), class.LatePriorityWeight},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkNumbers(numbers ...number) error {
	for _, number := range numbers {
		if number.value < 0 {
			return settingError(number.key, "negative")
		}
	}
	return nil
}

func (s *Settings) checkOwnHub() error {
	if len(s.Tiers.HubByZone) <= s.Zone {
		return nil
	}
	hub, zones := s.Tiers.HubByZone[s.Zone], len(s.Zones)
	if hub < 0 || hub >= max(zones, 1) {
		key := fmt.Sprintf("familyInfo.hubByZone[%d]", s.Zone)
		return settingError(key, "our hub %d is not among %d dcs", hub, zones)
	}
	return nil
}

// checkListLengths checks that lists by class or by zone have an entry for each, or are left out.
func (s *Settings) checkListLengths() error {
	tiers, classes, zones := &s.Tiers, len(s.Classes), len(s.Zones)
	for _, list := range []struct {
		key         string
		length, all int
	}{
		{"classFresh", len(tiers.FreshnessLifetime), classes},
		{"staleFor", len(tiers.StaleWindow), classes},
		{"staleEarns", len(tiers.StaleValue), classes},
		{"passOn", len(tiers.Uncacheable), classes},
		{"seatsByZone", len(tiers.DirectorsByZone), zones},
		{"hubByZone", len(tiers.HubByZone), zones},
	} {
		if list.length != 0 && list.length != list.all {
			return settingError("familyInfo."+list.key, "%d entries, want %d", list.length, list.all)
		}
	}
	return nil
}

func (s *Settings) checkFreshness() error {
	for i, lifetime := range s.Tiers.FreshnessLifetime {
		if lifetime < 0 {
			return settingError(fmt.Sprintf("familyInfo.classFresh[%d]", i), "negative")
		}
	}
	for i, window := range s.Tiers.StaleWindow {
		if window < 0 {
			return settingError(fmt.Sprintf("familyInfo.staleFor[%d]", i), "negative")
		}
	}
	return nil
}

// applyDefaults gives lists that were left out their full length, with zeros.
func (s *Settings) applyDefaults() {
	tiers, classes, zones := &s.Tiers, len(s.Classes), max(len(s.Zones), 1)
	tiers.FreshnessLifetime = padded(tiers.FreshnessLifetime, classes)
	tiers.StaleWindow = padded(tiers.StaleWindow, classes)
	tiers.Uncacheable = padded(tiers.Uncacheable, classes)
	tiers.DirectorsByZone = padded(tiers.DirectorsByZone, zones)
	tiers.HubByZone = padded(tiers.HubByZone, zones)
}

func padded[T any](list []T, length int) []T {
	return append(list, make([]T, length-len(list))...)
}
