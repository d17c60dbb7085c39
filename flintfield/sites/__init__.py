"""The loss of a site: a plan made before it, from capacities and load (docs/sites.md)."""
