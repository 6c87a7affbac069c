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

// The steps, by the flow that they belong to.
var (
	live          = []string{"accept", "admit", "queue", "send", "stream", "end"}
	rollout       = []string{"submit group", "generate", "score", "keep", "offer", "acknowledge"}
	weights       = []string{"stage", "switch"}
	configuration = []string{"write configuration", "spread", "apply"}
	stopping      = []string{"drain", "stop"}
	takeOver      = []string{"take over a job", "come back after a pause"}

	// engineSteps are the steps that involve an engine.
	engineSteps = []string{"send", "stream", "end", "generate"}
	// noEngineSteps are the steps that don't.
	noEngineSteps = slices.Concat([]string{"accept", "score", "keep", "offer", "acknowledge", "submit group"}, configuration)
	// loadSteps are the steps covered by a fault that is injected at several moments
	// under load.
	loadSteps = slices.Concat(live, rollout)
)

// rows are the faults. A test counts for a step only if the fault is present while
// that step is in progress; faults that last longer than a step cover all of its
// parts.
var rows = []row{
	{"engine crash in mid-stream", map[string][]string{"TestEngineCrash": engineSteps},
		map[string][]string{noEngine: noEngineSteps}},
	{"engine crash, the same twice", map[string][]string{"TestEngineCrashTwice": engineSteps},
		map[string][]string{noEngine: noEngineSteps}},
	{"engines crash together", map[string][]string{"TestEnginesCrashTogether": engineSteps},
		map[string][]string{noEngine: noEngineSteps}},
	{"engine hangs", map[string][]string{"TestEngineHangs": slices.Concat(engineSteps, weights)},
		map[string][]string{noEngine: noEngineSteps}},
	{"swap fails partway", map[string][]string{"TestSwitchFailsHalfway": {"switch", "stream", "generate"}, "TestStageFails": {"stage"}},
		map[string][]string{noOrder: slices.Concat(noEngineSteps, []string{"admit", "queue"})}},
	{"answer to an order lost", map[string][]string{"TestOrderAnswersLost": {"stage", "switch", "generate", "stream"}},
		map[string][]string{noOrder: slices.Concat(noEngineSteps, []string{"admit", "queue"})}},
	{"weight store down", map[string][]string{"TestWeightStoreDown": slices.Concat(loadSteps, weights)},
		map[string][]string{"weights are not fetched": slices.Concat(configuration, stopping)}},
	{"kill of the holder of a job", map[string][]string{"TestHolderRestarted": slices.Concat(loadSteps, []string{"take over a job"}),
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
	{"cut between two processes", map[string][]string{"TestCuts": slices.Concat(loadSteps, []string{"spread"})}, nil},
	{"freeze of a process", map[string][]string{"TestFreezes": loadSteps}, nil},
	{"two regions cut", map[string][]string{"TestRegionsCut": slices.Concat(loadSteps, []string{"spread"})}, nil},
	{"key-value service down", map[string][]string{"TestKeyValueDown": loadSteps, "TestKeyValueDownLong": slices.Concat(loadSteps, weights),
		"TestConfigurationNeverBack": {"spread", "apply"}}, nil},
	{"an entry starts while the key-value service is down", map[string][]string{
		"TestRollingRestartInAnOutage": {"accept", "spread", "apply"}, "TestOnlyPeerIsOutdated": {"accept", "spread", "apply"}}, nil},
	{"a process beside an engine starts while the key-value service is down", map[string][]string{
		"TestOldFenceAfterRestartInAnOutage": {"switch"}},
		map[string][]string{noOrder: slices.Concat(noEngineSteps, []string{"admit", "queue"})}},
	{"key-value service slow", map[string][]string{"TestKeyValueSlow": slices.Concat(loadSteps, weights)}, nil},
	{"answer lost after the write took effect", map[string][]string{"TestWriteAnswersLost": rollout, "TestOperatorsRace": {"write configuration"}},
		map[string][]string{noStore: live}},
	{"watch gap", map[string][]string{"TestWatchGaps": {"spread", "apply"}}, map[string][]string{noStore: live}},
	{"lease lapsed while its holder goes on", map[string][]string{"TestLeasesLapse": slices.Concat(rollout, []string{"take over a job"})},
		map[string][]string{noJob: live}},
	{"holder cut off from the key-value service alone", map[string][]string{
		"TestHolderCutOff": slices.Concat(loadSteps, []string{"take over a job", "come back after a pause"})}, nil},
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
	{"random faults, one after another and two at once", map[string][]string{"TestRandomFaults": slices.Concat(loadSteps, weights)}, nil},
}
