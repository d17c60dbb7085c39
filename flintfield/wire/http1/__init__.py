"""HTTP/1.1 on sockets: caller legs, next hops and discovery."""
