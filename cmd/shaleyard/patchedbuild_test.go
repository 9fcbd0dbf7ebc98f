package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// prlimit sets the limit on descriptors of a running process to *set and stores the previous limit in *get. A nil
// pointer skips that part.
func prlimit(t *testing.T, pid int, set, get *syscall.Rlimit) {
	t.Helper()
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(get)), 0, 0)
	if errno != 0 {
		t.Fatalf("prlimit: %v", errno)
	}
}

// goOutput runs the go command and returns what it prints, without surrounding space.
func goOutput(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.Command("go", args...).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(out))
}

// buildWithSource builds the program with one source file outside the main module replaced by the text that change
// returns for it. It returns the path of the binary.
func buildWithSource(t *testing.T, original string, change func(text string) string) (program string) {
	t.Helper()
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	changed, overlay := filepath.Join(folder, filepath.Base(original)), filepath.Join(folder, "overlay.json")
	overlayJSON, err := json.Marshal(map[string]any{"Replace": map[string]string{original: changed}})
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{changed: []byte(change(string(text))), overlay: overlayJSON} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return build(t, folder, "-overlay="+overlay)
}

// buildWithModule builds the program with a changed copy of one module that it depends on. The keys of changes are
// paths inside the module; each value returns the changed text of its file. It returns the path of the binary.
func buildWithModule(t *testing.T, module string, changes map[string]func(text string) string) (program string) {
	t.Helper()
	folder := t.TempDir()
	copied := filepath.Join(folder, "module")
	if err := os.CopyFS(copied, os.DirFS(goOutput(t, "list", "-m", "-f", "{{.Dir}}", module))); err != nil {
		t.Fatal(err)
	}
	for file, changed := range changes {
		path := filepath.Join(copied, file)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(path); err != nil { // files of the module cache are read-only, and so are their copies
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(changed(string(text))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	mainModuleDir, modfile := filepath.Dir(goOutput(t, "env", "GOMOD")), filepath.Join(folder, "go.mod")
	for _, name := range []string{"go.mod", "go.sum"} {
		text, err := os.ReadFile(filepath.Join(mainModuleDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	goOutput(t, "mod", "edit", "-replace="+module+"="+copied, modfile)
	return build(t, folder, "-modfile="+modfile)
}

// build builds the program into a folder, with one more option for go build, and returns the path of the binary.
func build(t *testing.T, folder, option string) (program string) {
	t.Helper()
	program = filepath.Join(folder, "shaleyard")
	cmd := exec.Command("go", "build", option, "-o", program, ".")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// insertAfterLine inserts a text after the first occurrence of a line of source code. The test ends if there is no such
// line.
func insertAfterLine(t *testing.T, text, line, inserted string) string {
	t.Helper()
	if !strings.Contains(text, line) {
		t.Fatalf("source file has changed: no line %q", line)
	}
	return strings.Replace(text, line, line+inserted, 1)
}

// wholeSeconds returns a duration in whole seconds, as a Go literal.
func wholeSeconds(step time.Duration) string { return fmt.Sprint(int64(step / time.Second)) }
