"""The control plane's face to the operator: the configuration, its orders and its API."""
