package member

import "time"

const (
	// defaultExpiry is how long a silent instance stays in the table. Each of two hubs
	// receives a heartbeat every 6 seconds, so that two may be lost before a live
	// instance is marked as gone.
	defaultExpiry = 15 * time.Second
	// massSilenceFactor extends the expiry when most members fall silent at once, which
	// is what a hub observes when it is itself cut off from them; dropping them would
	// leave its callers without endpoints that serve. If they are in fact dead, callers
	// lose an attempt each until then.
	massSilenceFactor = 4
	// defaultRemoteExpiry is how long the members of another data centre stay when none
	// of its hubs answers. Regions lose each other for minutes while each still serves;
	// half a minute covers a change of hub there.
	defaultRemoteExpiry = 30 * time.Second
	// defaultSettleDelay is how long a minor change is batched with others before it
	// makes a new version of the table.
	defaultSettleDelay = 15 * time.Second
	// defaultTombstoneTTL is how long the tombstone of a gone instance is kept. Readers
	// with an older version are sent the full table.
	defaultTombstoneTTL = 10 * time.Minute
)

type (
	// Option configures a Table.
	Option func(*Table)
)
