package inifile_test

import (
	"fmt"
	"strings"
	"testing"

	"graniteknot.org/go/internal/inifile"
)

// TestFaultsShowNoRawBytes quotes what a terminal would act on, and cuts what is
// long.
func TestFaultsShowNoRawBytes(t *testing.T) {
	text := "[a]\n\x1b[2Jkey = 1\n\x1b[2Jkey = 2\n" + strings.Repeat("k", 5000) + " = 1\n" + strings.Repeat("k", 5000) + " = 1\n"
	_, err := inifile.Parse("x.ini", []byte(text))
	if err == nil {
		t.Fatal("accepted")
	}
	if strings.ContainsRune(err.Error(), 0x1b) || len(err.Error()) > 1000 {
		t.Errorf("%q", err.Error())
	}
}

func TestFaultsAreListedUpToTwenty(t *testing.T) {
	var faults inifile.Faults
	for i := range 25 {
		faults = append(faults, inifile.Fault{File: "x.ini", Line: i, Expected: fmt.Sprint("v", i)})
	}
	lines := strings.Split(faults.Error(), "\n")
	if len(lines) != 21 || lines[20] != "and 5 more" || lines[19] != "x.ini:19: expected v19" {
		t.Errorf("%d lines, last %q", len(lines), lines[len(lines)-1])
	}
	if got := (inifile.Faults{{File: "x", Line: 1, Expected: "y"}}).Error(); got != "x:1: expected y" {
		t.Error(got)
	}
}
