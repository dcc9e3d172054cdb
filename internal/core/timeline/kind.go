package timeline

// Kind names what happened.
type Kind string

// The kinds of events.
const (
	KindReceived  Kind = "received"
	KindDispatch  Kind = "dispatch"
	KindClaimed   Kind = "claimed"
	KindStarted   Kind = "started"
	KindFinished  Kind = "finished"
	KindRefused   Kind = "refused"
	KindBroken    Kind = "broken"
	KindPreempted Kind = "preempted"
	KindResumed   Kind = "resumed"
	KindWithdrawn Kind = "withdrawn"
	KindOutcome   Kind = "outcome"
	KindSettings  Kind = "settings"
	KindRejected  Kind = "settings-refused"
	KindStart     Kind = "process-start"
	KindLeaving   Kind = "leaving"
	KindStopped   Kind = "stopped"
	KindSuspect   Kind = "suspect"
	KindAlive     Kind = "alive"
	KindEjected   Kind = "ejected"
	KindSnapshot  Kind = "snapshot"
	KindMapArmed  Kind = "map-armed"
	KindMapForce  Kind = "map-in-force"
	KindMapHeld   Kind = "map-held"
)
