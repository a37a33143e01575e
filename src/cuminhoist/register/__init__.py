"""A replicated register that holds what operators declare."""
