package explain

import "fmt"

// cause explains why a request ended as it did, from its own lines and from concurrent events.
func cause(own, all []Line) string {
	last := &own[len(own)-1]
	if last.Event == "refused" {
		return refused(last)
	}
	if last.Get("outcome") == "answered" {
		return fmt.Sprintf("answered with %s after %s ms, by %s in %s attempts",
			last.Get("status"), last.Get("took_ms"), last.Get("replica"), last.Get("attempts"))
	}
	text := ended(last)
	if why := failedAttempt(own); why != "" {
		text += "; " + why
	}
	if why := concurrentEvent(all); why != "" {
		text += "; " + why
	}
	return text
}

func refused(l *Line) string {
	switch l.Get("reason") {
	case "stale-configuration":
		return fmt.Sprintf("not run: the configuration (version %s) was %s ms old, too old to trust a key: the gateway could not read the store",
			l.Get("version"), l.Get("version_age_ms"))
	case "no-configuration":
		return "not run: the gateway had no configuration yet"
	case "configuration-behind":
		return "not run: version " + l.Get("version") + " does not allow it, and may not be the newest" + versionEvidence(l)
	case "no-route":
		return fmt.Sprintf("no route for %s%s in version %s%s", l.Get("host"), l.Get("path"), l.Get("version"), versionEvidence(l))
	case "unknown-key":
		return "the key is in no account of version " + l.Get("version") + versionEvidence(l)
	}
	return fmt.Sprintf("refused with %s: %s", l.Get("status"), l.Get("reason"))
}

// versionEvidence describes how the refusing gateway had confirmed its configuration version.
func versionEvidence(l *Line) string {
	text := ""
	if l.Get("read_by") != "" {
		text = fmt.Sprintf(", read by %s %s ms before and told by %s", l.Get("read_by"), l.Get("version_age_ms"), l.Get("proved_by"))
	}
	if behind := l.Get("behind_ms"); behind != "" && behind != "0" {
		text += fmt.Sprintf("; another gateway was known to have a newer one for %s ms", behind)
	}
	return text
}

// ended describes the end of a request without a response.
func ended(l *Line) string {
	switch l.Get("reason") {
	case "busy":
		return fmt.Sprintf("not run: no replica of %s had room within %s ms", l.Get("service"), l.Get("took_ms"))
	case "no-replica":
		return "not run: no replica of " + l.Get("service") + " is registered and not leaving"
	case "no-replica-in-region":
		return "not run: no replica of " + l.Get("service") + " is in a region that the route and the account allow"
	case "stale-configuration":
		return "given up before another attempt: the configuration had become too old to trust a key"
	case "timeout":
		return fmt.Sprintf("its time was over after %s ms", l.Get("took_ms"))
	case "caller-gone":
		return fmt.Sprintf("the caller left after %s ms", l.Get("took_ms"))
	case "caller-does-not-read":
		return fmt.Sprintf("the caller had stopped reading the response; canceled after %s ms", l.Get("took_ms"))
	case "ends-replicas":
		if part := l.Get("part"); part != "" {
			return fmt.Sprintf("kept from replicas: several ended under requests to model %s with part %s in their prompts (lines: replica ended, prompt part quarantined)",
				l.Get("model"), part)
		}
		return fmt.Sprintf("kept from replicas: two or more ended under requests with the same path, account and body (identity %s; their lines: replica ended)",
			l.Get("identity"))
	case "replicas-limited":
		return fmt.Sprintf("not run: all replicas of %s name how many requests they take from all gateways, and this one had no part of that in time (lines: replica told)",
			l.Get("service"))
	case "replicas-rest":
		return fmt.Sprintf("not run: all replicas of %s had asked this gateway for rest (lines: replica said)", l.Get("service"))
	case "retry-budget":
		return "not tried again: the retry budget was used up"
	}
	return fmt.Sprintf("ended as %s: %s", l.Get("outcome"), l.Get("reason"))
}

// failedAttempt describes the last attempt that failed; empty if none did.
func failedAttempt(own []Line) string {
	for i := len(own) - 1; i >= 0; i-- {
		l := &own[i]
		if l.Event != "attempt" || l.Get("reason") == "" {
			continue
		}
		return fmt.Sprintf("attempt %s at %s failed: %s, %s ms after arrival (%s own and %s other requests there, room %s, passes of %s ms, report %s ms old)",
			l.Get("attempt"), l.Get("replica"), l.Get("reason"), l.Get("since_arrival_ms"), l.Get("own"), l.Get("others"),
			l.Get("room"), l.Get("pass_ms"), l.Get("report_age_ms"))
	}
	return ""
}

// concurrentEvent describes the first concurrent event that may be the cause; empty if there is
// none.
func concurrentEvent(all []Line) string {
	for i := range all {
		l := &all[i]
		switch l.Event {
		case "switch":
			return fmt.Sprintf("meanwhile the group's switch to map %s was %s for %s ms", l.Get("map"), l.Get("former"), l.Get("former_took_ms"))
		case "store lost":
			return "meanwhile the store did not answer: " + l.Get("error")
		case "replica gone", "replica lapsed":
			return "meanwhile the record of " + l.Get("replica") + " vanished"
		case "target":
			if l.Get("lost") == "true" {
				return "meanwhile the target beside " + l.Box + " did not answer"
			}
		case "started":
			return "meanwhile the process on " + l.Box + " was started anew"
		}
	}
	return ""
}
