// Package operatorv1 contains the code generated from proto/operator/v1/operator.proto.
package operatorv1
