"""The command line crocuswell for operators and callers."""
