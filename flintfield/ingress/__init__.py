"""The data plane's face to clients: takes their calls and passes them on to the dispatcher."""
