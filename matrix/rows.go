package matrix

import "slices"

const (
	noEngine  = "no engine takes part"
	noStore   = "no call of the key-value service is made"
	noOrder   = "no order is given"
	noJob     = "no job takes part"
	noList    = "the instance list is not read"
	noTrainer = "no pull takes part"
)

// The steps, by what they belong to.
var (
	live          = []string{"accept", "admit", "queue", "send", "stream", "end"}
	rollout       = []string{"submit group", "generate", "score", "keep", "offer", "acknowledge"}
	weights       = []string{"stage", "switch"}
	configuration = []string{"write configuration", "spread", "apply"}
	stopping      = []string{"drain", "stop"}
	takeOver      = []string{"take over a job", "come back after a pause"}

	// engineWork are the steps in which an engine takes part.
	engineWork = []string{"send", "stream", "end", "generate"}
	// engineFree are those in which it has none.
	engineFree = slices.Concat([]string{"accept", "score", "keep", "offer", "acknowledge", "submit group"}, configuration)
	// swept are the steps that a fault meets which is played at several moments
	// of steps under load.
	swept = slices.Concat(live, rollout)
)

// rows are the faults. A test stands for a step only if the fault is played
// while that step is under way; faults that last longer than a step meet all of
// its parts.
var rows = []row{
	{"engine crash in mid-stream", map[string][]string{"TestEngineCrash": engineWork},
		map[string][]string{noEngine: engineFree}},
	{"engine crash, the same twice", map[string][]string{"TestEngineCrashTwice": engineWork},
		map[string][]string{noEngine: engineFree}},
	{"engines crash together", map[string][]string{"TestEnginesCrashTogether": engineWork},
		map[string][]string{noEngine: engineFree}},
	{"engine hangs", map[string][]string{"TestEngineHangs": slices.Concat(engineWork, weights)},
		map[string][]string{noEngine: engineFree}},
	{"swap fails partway", map[string][]string{"TestSwitchFailsHalfway": {"switch", "stream", "generate"}, "TestStageFails": {"stage"}},
		map[string][]string{noOrder: slices.Concat(engineFree, []string{"admit", "queue"})}},
	{"answer to an order lost", map[string][]string{"TestOrderAnswersLost": {"stage", "switch", "generate", "stream"}},
		map[string][]string{noOrder: slices.Concat(engineFree, []string{"admit", "queue"})}},
	{"weight store down", map[string][]string{"TestWeightStoreDown": slices.Concat(swept, weights)},
		map[string][]string{"weights are not fetched": slices.Concat(configuration, stopping)}},
	{"kill of the holder of a job", map[string][]string{"TestHolderRestarted": slices.Concat(swept, []string{"take over a job"}),
		"TestHolderKilled": {"take over a job"}}, nil},
	{"kill of a process beside an engine", map[string][]string{"TestSideRestarted": {"admit", "queue", "send", "stream", "end", "generate"}},
		map[string][]string{"that process takes no part": {"accept", "submit group", "score", "keep", "offer", "acknowledge",
			"write configuration", "take over a job"}}},
	{"kill of a process beside a plain service", map[string][]string{"TestDeskRestarted": {"admit", "queue", "send", "end"}},
		map[string][]string{noEngine: {"stream", "submit group", "generate", "score", "keep", "offer", "acknowledge", "stage", "switch"}}},
	{"planned stop", map[string][]string{"TestPlannedStop": {"stream", "end", "drain", "stop"},
		"TestRollingRelease": {"admit", "send", "generate", "drain", "stop"}}, nil},
	{"endpoint marked leaving", map[string][]string{"TestLeaving": {"admit", "send", "stream", "end", "generate"}},
		map[string][]string{noEngine: {"score", "keep", "offer", "acknowledge", "write configuration"}}},
	{"cut between two processes", map[string][]string{"TestCuts": slices.Concat(swept, []string{"spread"})}, nil},
	{"freeze of a process", map[string][]string{"TestFreezes": swept}, nil},
	{"two regions cut", map[string][]string{"TestRegionsCut": slices.Concat(swept, []string{"spread"})}, nil},
	{"key-value service down", map[string][]string{"TestKeyValueDown": swept, "TestKeyValueDownLong": slices.Concat(swept, weights),
		"TestConfigurationNeverBack": {"spread", "apply"}}, nil},
	{"key-value service slow", map[string][]string{"TestKeyValueSlow": slices.Concat(swept, weights)}, nil},
	{"answer lost after the write took effect", map[string][]string{"TestWriteAnswersLost": rollout, "TestOperatorsRace": {"write configuration"}},
		map[string][]string{noStore: live}},
	{"watch gap", map[string][]string{"TestWatchGaps": {"spread", "apply"}}, map[string][]string{noStore: live}},
	{"lease lapsed while its holder goes on", map[string][]string{"TestLeasesLapse": slices.Concat(rollout, []string{"take over a job"})},
		map[string][]string{noJob: live}},
	{"holder cut off from the key-value service alone", map[string][]string{
		"TestHolderCutOff": slices.Concat(swept, []string{"take over a job", "come back after a pause"})}, nil},
	{"holder paused past its lease", map[string][]string{
		"TestHolderPaused": slices.Concat(rollout, []string{"take over a job", "come back after a pause"})}, nil},
	{"operators race on one resource", map[string][]string{"TestOperatorsRace": {"write configuration"}},
		map[string][]string{"no operator takes part": slices.Concat(live, rollout, weights, stopping, takeOver)}},
	{"old fencing number at an engine that refuses it", map[string][]string{"TestOldFence": {"switch"}},
		map[string][]string{noOrder: slices.Concat(live, rollout, configuration, stopping)}},
	{"old fencing number at an engine that ignores it", map[string][]string{"TestOldFence": {"switch"}},
		map[string][]string{noOrder: slices.Concat(live, rollout, configuration, stopping)}},
	{"late, repeated or reordered pulls", map[string][]string{"TestPullsRepeated": {"offer", "acknowledge"},
		"TestPullsOutOfOrder": {"offer", "acknowledge"}},
		map[string][]string{noTrainer: slices.Concat(live, weights, configuration, stopping)}},
	{"lagging instance list", map[string][]string{"TestListStale": {"send", "stream", "generate"}},
		map[string][]string{noList: {"score", "keep", "offer", "acknowledge", "write configuration"}}},
	{"new versions while finished samples wait", map[string][]string{"TestFinishedSamplesAge": {"generate", "offer"}},
		map[string][]string{noTrainer: live}},
	{"disk instance lost", map[string][]string{"TestHolderKilledWithDisks": {"keep"}}, nil},
	{"two at once: key-value service down and an engine or the holder lost", map[string][]string{"TestKeyValueDownWithAnother": {
		"stream", "generate", "offer", "take over a job"}}, nil},
	{"random faults, one after another and two at once", map[string][]string{"TestRandomFaults": slices.Concat(swept, weights)}, nil},
}
