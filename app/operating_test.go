package app_test

import (
	"bufio"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/store"
)

const (
	page     = "../docs/OPERATING.md"
	pageURL  = "http://127.0.0.1:9200"
	rewrites = "SKYLARKSTAND_RENEW"
)

// moments are written on the page as they were on the day of the run.
var moments = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)

// An operator in a hurry types what the page says. A command that has since
// changed its name or its output costs minutes in which callers get wrong
// answers. With SKYLARKSTAND_RENEW=1 the page is written anew.
func TestPageForOperatorsShowsWhatHappens(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "skylarkstand").CombinedOutput()
	assert.NilError(t, err, string(out))
	srv := httptest.NewServer(store.New())
	defer srv.Close()

	old, err := os.ReadFile(page)
	assert.NilError(t, err)
	got := rerun(t, string(old), func(line string) string {
		cmd := exec.Command("bash", "-c", line)
		cmd.Dir = dir
		if strings.HasPrefix(line, "go run") {
			cmd = exec.Command("bash", "-c", strings.Replace(line, ">", ">"+dir+"/", 1))
			cmd.Dir = ".."
		}
		cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"), "SKYLARKSTAND_STORE="+srv.URL, "SKYLARKSTAND_OPERATOR=ana")
		out, err := cmd.CombinedOutput()
		text := string(out)
		if err != nil {
			text += fmt.Sprintf("(exit code %d)\n", cmd.ProcessState.ExitCode())
		}
		return strings.ReplaceAll(text, srv.URL, pageURL)
	})
	if os.Getenv(rewrites) != "" {
		assert.NilError(t, os.WriteFile(page, []byte(got), 0o600))
		return
	}
	assert.Equal(t, moments.ReplaceAllString(got, "TIME"), moments.ReplaceAllString(string(old), "TIME"))
}

// rerun returns a page with the output of its commands replaced.
func rerun(t *testing.T, text string, run func(string) string) string {
	t.Helper()
	var sb strings.Builder
	inside := false
	sc := bufio.NewScanner(strings.NewReader(text))
	for sc.Scan() {
		line := sc.Text()
		cmd, isCommand := strings.CutPrefix(line, "$ ")
		switch {
		case line == "```console":
			inside = true
		case line == "```":
			inside = false
		case inside && !isCommand:
			continue // Output of an earlier run.
		}
		sb.WriteString(line + "\n")
		if inside && isCommand {
			sb.WriteString(run(cmd))
		}
	}
	return sb.String()
}

// An on-call engineer follows the page while a user waits. Its commands must run
// as they stand.
func TestPageForOnCallEngineersRuns(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "skylarkstand").CombinedOutput()
	assert.NilError(t, err, string(out))
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	ran := 0
	for _, block := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(string(page), -1) {
		for line := range strings.Lines(block[1]) {
			cmd := exec.Command("bash", "-c", line)
			cmd.Dir, cmd.Env = "..", append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
			out, err := cmd.CombinedOutput()
			assert.NilError(t, err, "%s%s", line, out)
			assert.Assert(t, strings.Contains(string(out), "exchange-failed"), "%s%s", line, out)
			ran++
		}
	}
	assert.Assert(t, ran >= 2)
}
