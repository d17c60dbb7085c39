"""Messages as struct records, and the connections that carry them between the system's processes."""
