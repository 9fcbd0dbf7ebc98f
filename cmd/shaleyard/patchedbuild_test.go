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

// prlimit sets or reads the limit on descriptors of a running process.
func prlimit(t *testing.T, pid int, set, get *syscall.Rlimit) {
	t.Helper()
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(get)), 0, 0)
	if errno != 0 {
		t.Fatalf("prlimit: %v", errno)
	}
}

// goOutput is what the go command prints.
func goOutput(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.Command("go", args...).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(out))
}

// buildWithSource builds the program with one file of the standard library, or of a module, changed.
func buildWithSource(t *testing.T, original string, change func(text string) string) (program string) {
	t.Helper()
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	changed, overlay := filepath.Join(folder, filepath.Base(original)), filepath.Join(folder, "overlay.json")
	replace, err := json.Marshal(map[string]any{"Replace": map[string]string{original: changed}})
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{changed: []byte(change(string(text))), overlay: replace} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return build(t, folder, "-overlay="+overlay)
}

// buildWithModule builds the program with files of one of its modules changed.
func buildWithModule(t *testing.T, module string, change map[string]func(text string) string) (program string) {
	t.Helper()
	folder := t.TempDir()
	copied := filepath.Join(folder, "module")
	if err := os.CopyFS(copied, os.DirFS(goOutput(t, "list", "-m", "-f", "{{.Dir}}", module))); err != nil {
		t.Fatal(err)
	}
	for file, changed := range change {
		path := filepath.Join(copied, file)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(path); err != nil { // a copy of what is read-only
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(changed(string(text))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ours, modfile := filepath.Dir(goOutput(t, "env", "GOMOD")), filepath.Join(folder, "go.mod")
	for _, name := range []string{"go.mod", "go.sum"} {
		text, err := os.ReadFile(filepath.Join(ours, name))
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

// build builds the program in a folder.
func build(t *testing.T, folder, option string) (program string) {
	t.Helper()
	program = filepath.Join(folder, "shaleyard")
	run := exec.Command("go", "build", option, "-o", program, ".")
	run.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := run.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// insertAfterLine puts a text behind a line of a source file that must be there.
func insertAfterLine(t *testing.T, text, line, inserted string) string {
	t.Helper()
	if !strings.Contains(text, line) {
		t.Fatalf("the source is not what it was: no %q", line)
	}
	return strings.Replace(text, line, line+inserted, 1)
}

func wholeSeconds(step time.Duration) string { return fmt.Sprint(int64(step / time.Second)) }
