// Package platformv1 contains the code generated from proto/platform/v1/platform.proto.
package platformv1
