"""The daemon `crocuswelld`, which runs as an entry host or as an agent."""
