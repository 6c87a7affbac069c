package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/sims/simcal"
	"github.com/lavendermux/lavendermux/sims/simscr"
	"github.com/lavendermux/lavendermux/sims/simtrn"
)

type (
	trainerCommand struct {
		Entry        []string      `required:"" help:"URLs of entries."`
		Subscription string        `required:"" help:"Name of the subscription."`
		Model        string        `default:"draft" help:"Model to train."`
		Store        string        `help:"URL of the weight store; empty: versions are only announced."`
		Bytes        int64         `default:"100000000" help:"Size of a version in bytes."`
		Steps        int           `default:"3" help:"Steps to train."`
		Ahead        int           `default:"1" help:"Steps submitted ahead of the current one."`
		Groups       int           `default:"8" help:"Groups per step."`
		Size         int           `default:"8" help:"Samples per group."`
		MaxTokens    int64         `default:"512" help:"Maximum length of a sample, in tokens."`
		Prompt       int           `default:"200" help:"Length of a prompt in bytes."`
		Bound        int64         `default:"2" help:"Staleness bound in versions."`
		FirstVersion int64         `default:"1" help:"First published version."`
		TrainTime    time.Duration `default:"1s" help:"Training time of a step."`
		PullWait     time.Duration `default:"10s" help:"Maximum waiting time of a pull."`
		PullSize     int           `default:"256" help:"Maximum number of samples per pull."`
		Loss         float64       `help:"Fraction of pull responses to drop and pull again."`
		Unscored     bool          `help:"Do not compare scores with those of the simulated scorer."`
		Seed         uint64        `help:"Random seed."`
		Within       time.Duration `default:"10m" help:"Time limit of the trainer."`
	}

	callerCommand struct {
		Entry       []string      `required:"" help:"URLs of entries."`
		Caller      string        `default:"caller" help:"Name of the caller."`
		Model       string        `default:"draft" help:"Model to send requests to."`
		Service     string        `help:"Plain service to book slots of, instead of the model."`
		Keyed       float64       `default:"0.5" help:"Fraction of bookings with an idempotency key."`
		Status      float64       `help:"Fraction of requests to the service that get a case's status."`
		Direct      bool          `help:"Send requests directly to an engine or a plain service at the URLs given as entries."`
		Concurrency int           `default:"4" help:"Number of concurrent callers."`
		Rate        float64       `help:"Requests per second; 0: whenever a caller is free."`
		Duration    time.Duration `default:"10s" help:"How long to send requests."`
		Timeout     time.Duration `default:"5s" help:"Timeout of a request."`
		Priority    int32         `help:"Priority of a request."`
		MaxTokens   int64         `default:"64" help:"Maximum length of an answer, in tokens."`
		Streaming   float64       `default:"0.5" help:"Fraction of requests that are streamed."`
		Prefix      string        `help:"Common prefix of prompts."`
		Attempts    int           `default:"1" help:"Maximum attempts of a request."`
		Seed        uint64        `help:"Random seed."`
	}
)

// Run trains, prints a summary, and returns an error if a sample violates a
// guarantee.
func (c *trainerCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	opts := []simtrn.Option{
		simtrn.WithModel(c.Model),
		simtrn.WithWeightStore(c.Store, c.Bytes),
		simtrn.WithSteps(c.Steps),
		simtrn.WithStepsAhead(c.Ahead),
		simtrn.WithGroups(c.Groups, c.Size),
		simtrn.WithLengths(c.MaxTokens, c.Prompt),
		simtrn.WithMaxStaleness(c.Bound),
		simtrn.WithFirstVersion(c.FirstVersion),
		simtrn.WithTrainTime(c.TrainTime),
		simtrn.WithPulls(c.PullWait, c.PullSize),
		simtrn.WithResponseLoss(c.Loss),
		simtrn.WithSeed(c.Seed),
	}
	if !c.Unscored {
		opts = append(opts, simtrn.WithScores(simscr.Score))
	}
	sum, err := simtrn.New(c.Subscription, c.Entry, opts...).Run(ctx)
	if printErr := printJSON(sum); printErr != nil {
		return printErr
	}
	if err == nil && sum.Violations() > 0 {
		return errors.Newf("%d samples violate a guarantee", sum.Violations())
	}
	return err
}

// Run sends the load, prints a summary, and returns an error if an answer was wrong.
func (c *callerCommand) Run(ctx context.Context) error {
	opts := []simcal.Option{
		simcal.WithCaller(c.Caller),
		simcal.WithModel(c.Model),
		simcal.WithService(c.Service, c.Keyed),
		simcal.WithStatusShare(c.Status),
		simcal.WithRate(c.Rate, c.Concurrency),
		simcal.WithDuration(c.Duration),
		simcal.WithRequest(c.Timeout, c.Priority, c.MaxTokens),
		simcal.WithStreamingShare(c.Streaming),
		simcal.WithPrefix(c.Prefix),
		simcal.WithMaxAttempts(c.Attempts),
		simcal.WithSeed(c.Seed),
	}
	if c.Direct {
		opts = append(opts, simcal.WithDirect())
	}
	sum := simcal.New(c.Entry, opts...).Run(ctx)
	if err := printJSON(sum); err != nil {
		return err
	}
	if sum.WrongAnswers() > 0 {
		return errors.Newf("%d answers were wrong", sum.WrongAnswers())
	}
	return nil
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "printing the summary")
}
