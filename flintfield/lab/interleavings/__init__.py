"""All interleavings of a few threads, up to a bound, over what we have; `docs/interleavings.md`."""
