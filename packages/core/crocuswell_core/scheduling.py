"""The scheduling pass that follows each applied command."""
