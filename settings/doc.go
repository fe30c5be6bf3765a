// Package settings reads the TOML file of one instance.
//
// Reading is strict: unknown keys, wrong types and contradictory values are all
// mistakes, and all of them are reported at once with their line and a remedy.
package settings
