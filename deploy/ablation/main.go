// Command ablation says what each mechanism of a gateway is worth: it plays the
// users' days of a deployment with all mechanisms, and once more with each of
// them switched off.
//
// Days are played on copies of the committed sources, whose settings template
// names the mechanism, without processor time, so that the same day with the same
// seed differs by the mechanism alone, as far as a day repeats. A row is the mean
// of the differences between plays of the same day and seed, with its standard
// error; what is within two of them may be chance.
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

// baseline is the row with all mechanisms.
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
		return eris.Wrap(err, "ablation")
	}
	defer os.RemoveAll(dir)
	for _, site := range ar.Sites {
		fmt.Println(filepath.Base(site))
		whole, err := ar.play(ctx, filepath.Join(dir, "all"), "", site)
		if err != nil {
			return err
		}
		fmt.Printf("  %-18s %.3f\n", baseline, mean(whole))
		for _, na := range names {
			without, err := ar.play(ctx, filepath.Join(dir, na), na, site)
			if err != nil {
				return err
			}
			diff, spread := compare(whole, without)
			fmt.Printf("  %-18s %+.4f +- %.4f\n", na, diff, spread)
		}
	}
	return nil
}

// play plays all days with all seeds and returns their worths, in one order.
func (ar args) play(ctx context.Context, tree, without, site string) ([]float64, error) {
	if err := prepare(ctx, tree, without); err != nil {
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
	places := make(chan struct{}, max(ar.Jobs, 1))
	var wg sync.WaitGroup
	for i, da := range days {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			out[i], errs[i] = ar.one(ctx, tree, without, site, da.name, da.seed)
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

// prepare copies the committed sources and switches a mechanism off.
func prepare(ctx context.Context, tree, without string) error {
	if _, err := os.Stat(tree); err == nil {
		return nil // Another site used it.
	}
	if out, err := exec.CommandContext(ctx, "git", "clone", "--quiet", ".", tree).CombinedOutput(); err != nil {
		return eris.Wrapf(err, "clone: %s", out)
	}
	if without == "" {
		return nil
	}
	path := filepath.Join(tree, "deploy", "gateway.jsonc")
	raw, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "template")
	}
	changed := strings.Replace(string(raw), "\n{\n", fmt.Sprintf("\n{\n  \"without\": [%q],\n", without), 1)
	return eris.Wrap(os.WriteFile(path, []byte(changed), 0o644), "template") //nolint:gosec // As the file it replaces.
}

// report is what is read of a day's report.
type report struct {
	Worth  float64        `json:"G"`
	Breaks map[string]any `json:"breaks"`
}

// one plays one day and returns its worth.
func (ar args) one(ctx context.Context, tree, without, site, day, seed string) (float64, error) {
	file := filepath.Join(tree, fmt.Sprintf("report-%s-%s.json", day, seed))
	defer os.Remove(file)
	argv := []string{"run", site, day, "--no-cpu", "--report", file, "--why", "ablation: without " + without}
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
	for rule := range re.Breaks {
		fmt.Printf("  %s, seed %s, without %q: the rule %s was broken\n", day, seed, without, rule)
	}
	return re.Worth, nil
}

func mean(vals []float64) float64 {
	sum := 0.0
	for _, val := range vals {
		sum += val
	}
	return sum / float64(len(vals))
}

// compare returns the mean of the differences and its standard error.
func compare(whole, without []float64) (diff, spread float64) {
	diffs := make([]float64, len(whole))
	for i := range whole {
		diffs[i] = without[i] - whole[i]
	}
	diff = mean(diffs)
	for _, val := range diffs {
		spread += (val - diff) * (val - diff)
	}
	n := float64(len(diffs))
	return diff, math.Sqrt(spread / max(n-1, 1) / n)
}
