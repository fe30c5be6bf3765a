// Package platformv1connect holds the generated connect-go client and handler of the platformv1 service.
package platformv1connect
