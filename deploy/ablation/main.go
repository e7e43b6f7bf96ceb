// Command ablation measures the benefit of each mechanism of a gateway: it runs the users' days of a
// deployment with all mechanisms enabled, and again with each mechanism disabled.
//
// Days run on copies of the committed sources whose settings template disables the mechanism.
// Processor time is excluded, so that runs of the same day and seed differ only by the mechanism,
// as far as days are reproducible. A row is the mean difference between runs of the same day and
// seed, with its standard error; a difference within two standard errors may be chance.
//
// # Usage
//
//	go run ./deploy/ablation --bench PROGRAM --seeds 0,1,2 SITE...
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"skylarkstand/core/mechanism"
)

type args struct {
	Bench      string   `arg:"--bench,required" help:"the users' program that plays days"`
	Seeds      string   `arg:"--seeds" default:"0,1,2" help:"seeds of each day; 0 is the day's own"`
	Days       string   `arg:"--days" default:"quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3" help:"names of days"`
	Mechanisms []string `arg:"--mechanisms,separate" help:"only these mechanisms"`
	Jobs       int      `arg:"--jobs" default:"4" help:"days played at the same time"`
	Sites      []string `arg:"positional,required" help:"files of deployments"`
}

func main() {
	var ar args
	arg.MustParse(&ar)
	if err := run(context.Background(), ar); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// baseline is the name of the row with all mechanisms enabled.
const baseline = "(all)"

func run(ctx context.Context, ar args) error {
	names := ar.Mechanisms
	if len(names) == 0 {
		for _, na := range mechanism.All() {
			names = append(names, string(na))
		}
	}
	dir, err := os.MkdirTemp("", "ablation-")
	if err != nil {
		return eris.Wrap(err, "the directory for the copies could not be created")
	}
	defer os.RemoveAll(dir)
	for _, site := range ar.Sites {
		fmt.Println(filepath.Base(site))
		baselineScores, err := ar.runDays(ctx, filepath.Join(dir, "all"), "", site)
		if err != nil {
			return err
		}
		fmt.Printf("  %-18s %.3f\n", baseline, mean(baselineScores))
		for _, na := range names {
			disabledScores, err := ar.runDays(ctx, filepath.Join(dir, na), na, site)
			if err != nil {
				return err
			}
			diff, stdErr := compare(baselineScores, disabledScores)
			fmt.Printf("  %-18s %+.4f +- %.4f\n", na, diff, stdErr)
		}
	}
	return nil
}

// runDays runs all days with all seeds and returns their scores, always in the same order.
func (ar args) runDays(ctx context.Context, tree, disabled, site string) ([]float64, error) {
	if err := prepare(ctx, tree, disabled); err != nil {
		return nil, err
	}
	type day struct{ name, seed string }
	var days []day
	for _, name := range strings.Split(ar.Days, ",") {
		for _, seed := range strings.Split(ar.Seeds, ",") {
			days = append(days, day{name, seed})
		}
	}
	out, errs := make([]float64, len(days)), make([]error, len(days))
	running := make(chan struct{}, max(ar.Jobs, 1))
	var wg sync.WaitGroup
	for i, da := range days {
		running <- struct{}{}
		wg.Go(func() {
			defer func() { <-running }()
			out[i], errs[i] = ar.runDay(ctx, tree, disabled, site, da.name, da.seed)
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

// prepare copies the committed sources to tree. It disables a mechanism there, if one is given.
func prepare(ctx context.Context, tree, disabled string) error {
	if _, err := os.Stat(tree); err == nil {
		return nil // The copy was made for a previous site.
	}
	if out, err := exec.CommandContext(ctx, "git", "clone", "--quiet", ".", tree).CombinedOutput(); err != nil {
		return eris.Wrapf(err, "the sources could not be cloned: %s", out)
	}
	if disabled == "" {
		return nil
	}
	path := filepath.Join(tree, "deploy", "gateway.jsonc")
	raw, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "the settings template could not be read")
	}
	changed := strings.Replace(string(raw), "\n{\n", fmt.Sprintf("\n{\n  \"without\": [%q],\n", disabled), 1)
	return eris.Wrap(os.WriteFile(path, []byte(changed), 0o644), "the settings template could not be written") //nolint:gosec // As the file it replaces.
}

// report is the part of a day's report that is used.
type report struct {
	Score      float64        `json:"G"`
	Violations map[string]any `json:"breaks"`
}

// runDay runs one day and returns its score.
func (ar args) runDay(ctx context.Context, tree, disabled, site, day, seed string) (float64, error) {
	file := filepath.Join(tree, fmt.Sprintf("report-%s-%s.json", day, seed))
	defer os.Remove(file)
	argv := []string{"run", site, day, "--no-cpu", "--report", file, "--why", "ablation: without " + disabled}
	if seed != "0" {
		argv = append(argv, "--seed", seed)
	}
	cmd := exec.CommandContext(ctx, ar.Bench, argv...)
	cmd.Dir = tree
	out, err := cmd.CombinedOutput()
	raw, rerr := os.ReadFile(file)
	if rerr != nil {
		return 0, eris.Wrapf(errors.Join(err, rerr), "%s, seed %s: %s", day, seed, out)
	}
	var re report
	if err := json.Unmarshal(raw, &re); err != nil {
		return 0, eris.Wrapf(err, "%s, seed %s", day, seed)
	}
	for rule := range re.Violations {
		fmt.Printf("  %s, seed %s, without %q: rule %s was violated\n", day, seed, disabled, rule)
	}
	return re.Score, nil
}

func mean(vals []float64) float64 {
	sum := 0.0
	for _, val := range vals {
		sum += val
	}
	return sum / float64(len(vals))
}

// compare returns the mean of the paired differences and its standard error.
func compare(baselineScores, disabledScores []float64) (diff, stdErr float64) {
	diffs := make([]float64, len(baselineScores))
	for i := range baselineScores {
		diffs[i] = disabledScores[i] - baselineScores[i]
	}
	diff = mean(diffs)
	for _, val := range diffs {
		stdErr += (val - diff) * (val - diff)
	}
	n := float64(len(diffs))
	return diff, math.Sqrt(stdErr / max(n-1, 1) / n)
}
