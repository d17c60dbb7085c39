"""The operator's command line; the programs never import it."""
