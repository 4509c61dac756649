"""The command-line client `crocuswell` for operators and callers."""
