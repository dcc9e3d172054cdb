// Package inifile reads INI text into sections that remember their lines, so
// that a fault can name file, line, section, key and what was expected.
//
// Parsing is done by ini.v1. What the keys mean is left to the packages that
// check the sections: settings for the published tree, procconf for the
// settings of one process.
package inifile
