"""Wire protocols, one package for each. This layer encodes and decodes; it makes no decisions."""
