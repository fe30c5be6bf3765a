package operator

import (
	"net/http"
	"strings"

	"github.com/monsoontiller/monsoontiller/operator/operatorv1/operatorv1connect"
)

// ClientConfig describes a client of one instance.
type ClientConfig struct {
	// Address is host:port or a URL.
	Address string
	HTTP    *http.Client
}

// NewClient returns a client of the operator API; without a scheme in the address, it uses plain HTTP.
func NewClient(cfg ClientConfig) operatorv1connect.OperatorServiceClient {
	url := cfg.Address
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	return operatorv1connect.NewOperatorServiceClient(cfg.HTTP, url)
}
