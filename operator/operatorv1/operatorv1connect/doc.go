// Package operatorv1connect holds the generated connect-go client and handler of the operatorv1 service.
package operatorv1connect
