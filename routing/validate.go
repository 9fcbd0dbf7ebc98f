package routing

import "fmt"

// SettingError is the error that New returns for an invalid setting.
type SettingError struct {
	Key     string // path of the setting in JSON
	Problem string // what is wrong with the value
}

// Error returns the key and the problem.
func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

func settingError(key, format string, args ...any) error {
	return &SettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// validate returns a *SettingError for the first invalid setting, or nil. Settings that it does not check may
// have any value. The constants in settings.go say how an unknown string is treated, and a kind that is out of
// range matches no server.
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
		return settingError("zone", "index %d is out of range, dcs has %d entries", s.Zone, zones)
	case s.SiteLimits.MaxAttempts < 1:
		return settingError("ceilings.maxAttempts", "%d, must be at least 1", s.SiteLimits.MaxAttempts)
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

// numericSetting holds the JSON key and the value of a setting that must not be negative.
type numericSetting struct {
	key   string
	value float64
}

func (s *Settings) checkNotNegative() error {
	limits, guarantees, tiers := &s.SiteLimits, &s.Guarantees, &s.Tiers
	err := rejectNegative(
		numericSetting{"quantum", float64(s.Quantum)},
		numericSetting{"ceilings.maxRetryAfter", float64(limits.MaxRetryAfter)},
		numericSetting{"ceilings.openCap", float64(limits.MaxOpenRequests)},
		numericSetting{"guarantees.askWithin", float64(guarantees.PollWithin)},
		numericSetting{"guarantees.cold", float64(guarantees.SlowStartDuration)},
		numericSetting{"guarantees.coldFrom", guarantees.SlowStartFraction},
		numericSetting{"guarantees.drainGrace", float64(guarantees.DrainGrace)},
		numericSetting{"guarantees.fall", float64(guarantees.OverloadWindow)},
		numericSetting{"guarantees.graceToAnswer", float64(guarantees.AnswerGrace)},
		numericSetting{"guarantees.tipMultiple", guarantees.OverloadMultiple},
		numericSetting{"familyInfo.originBears", float64(tiers.OriginTolerance)},
		numericSetting{"familyInfo.parentColdFrom", tiers.ParentSlowStartFraction},
		numericSetting{"familyInfo.parentFallMultiple", tiers.ParentOverloadMultiple},
		numericSetting{"familyInfo.parentRamp", float64(tiers.ParentSlowStartDuration)},
		numericSetting{"familyInfo.purgeSlack", float64(tiers.PurgeSlack)},
		numericSetting{"familyInfo.purgeTakes", float64(tiers.PurgePropagation)},
	)
	if err != nil {
		return err
	}
	for i, class := range s.Classes {
		err := rejectNegative(
			numericSetting{classKey(i, "dedupWindow"), float64(class.DedupWindow)},
			numericSetting{classKey(i, "aimStretch"), class.LatencyObjectivePerSize},
			numericSetting{classKey(i, "worth"), class.PriorityWeight},
			numericSetting{classKey(i, "lateWorth"), class.LatePriorityWeight},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// rejectNegative returns a *SettingError for the first of the settings that is negative, or nil.
func rejectNegative(settings ...numericSetting) error {
	for _, setting := range settings {
		if setting.value < 0 {
			return settingError(setting.key, "negative")
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
		return settingError(key, "index %d is out of range, dcs has %d entries", hub, zones)
	}
	return nil
}

// checkListLengths returns an error for the first list by class or by zone that is neither empty nor complete.
// It does not check InboundLinkKBPerSecond.
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

// applyDefaults fills those empty lists by class or by zone that the Router uses with zero values.
func (s *Settings) applyDefaults() {
	tiers, classes, zones := &s.Tiers, len(s.Classes), max(len(s.Zones), 1)
	tiers.FreshnessLifetime = padded(tiers.FreshnessLifetime, classes)
	tiers.StaleWindow = padded(tiers.StaleWindow, classes)
	tiers.Uncacheable = padded(tiers.Uncacheable, classes)
	tiers.DirectorsByZone = padded(tiers.DirectorsByZone, zones)
	tiers.HubByZone = padded(tiers.HubByZone, zones)
}

// padded returns the list, extended to the given length with zero values.
func padded[T any](list []T, length int) []T {
	return append(list, make([]T, length-len(list))...)
}
