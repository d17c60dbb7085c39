"""The operators' second address: HTTP/1.1, one call to a connection, over the legs of `wire/http1`."""
