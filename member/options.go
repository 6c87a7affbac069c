package member

import "time"

const (
	// defaultExpiry is how long a silent instance stays in the table. Beats come
	// to each of two hubs every 6 seconds, so that two may be lost on the way
	// before an instance that lives is taken for gone.
	defaultExpiry = 15 * time.Second
	// holdFactor is by how much longer silent members stay when most fall silent
	// at once. That is how it looks to a hub that is itself cut off from those
	// who beat to it; dropping them would leave its callers without endpoints
	// that serve. When they are truly dead, callers lose an attempt each until
	// then.
	holdFactor = 4
	// defaultSourceExpiry is how long the members of another data centre stay
	// when none of its hubs answers. Regions lose each other for minutes while
	// each still serves; half a minute rides out a change of hub there.
	defaultSourceExpiry = 30 * time.Second
	// defaultSettle is how long a minor change waits for others before it makes
	// a new version of the table.
	defaultSettle = 15 * time.Second
	// defaultKeepGone is how long the mark of a gone instance is kept. Whoever
	// asks from before that is sent the whole table.
	defaultKeepGone = 10 * time.Minute
)

type (
	// Option changes a Table as New makes it.
	Option func(*Table)
)
