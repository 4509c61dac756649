"""The long-running process crocuswelld: entry host or agent."""
