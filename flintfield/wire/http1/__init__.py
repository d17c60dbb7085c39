"""HTTP/1.1 on sockets: client connections, next hops and discovery."""
