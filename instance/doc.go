// Package instance assembles one process of the fleet from the other packages.
//
// An Instance claims a seat, follows the configuration in the platform's table,
// watches the database groups, replaces their lost primaries, lends and borrows
// connections, and serves callers, peers and operators. Other packages make the
// decisions; this one passes them their inputs and carries out the results.
package instance
