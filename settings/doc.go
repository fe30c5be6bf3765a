// Package settings parses the TOML settings file of one instance.
//
// Parsing is strict: unknown keys, wrong types and contradictory values are
// validation errors. All errors of a file are reported at once, each with its line
// and a remedy.
package settings
