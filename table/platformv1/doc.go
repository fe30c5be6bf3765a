// Package platformv1 holds the generated messages of the protocol; see the proto folder.
package platformv1
