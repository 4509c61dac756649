"""Jobs made of steps: records, commands, replicated table and reads."""
