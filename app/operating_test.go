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
	page          = "../docs/OPERATING.md"
	pageURL       = "http://127.0.0.1:9200"
	renewVariable = "SKYLARKSTAND_RENEW"
)

// timestamps matches the times in the page, which are those of the run that generated it.
var timestamps = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)

// Guards against commands and output in the operators' page that no longer match the program: an
// operator who relies on them during an incident loses minutes in which callers receive wrong
// answers. With SKYLARKSTAND_RENEW=1 the page is regenerated.
func TestOperatingPageMatchesOutput(t *testing.T) {
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
	if os.Getenv(renewVariable) != "" {
		assert.NilError(t, os.WriteFile(page, []byte(got), 0o600))
		return
	}
	assert.Equal(t, timestamps.ReplaceAllString(got, "TIME"), timestamps.ReplaceAllString(string(old), "TIME"))
}

// rerun returns the page with the output of its commands replaced by that of run.
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
			continue // Output of the previous run.
		}
		sb.WriteString(line + "\n")
		if inside && isCommand {
			sb.WriteString(run(cmd))
		}
	}
	return sb.String()
}

// Guards against commands in the on-call page that do not run: an engineer copies them during an
// incident.
func TestOperationsPageCommandsRun(t *testing.T) {
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
