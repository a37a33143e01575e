"""Links between instances, the messages on them, and both instance roles."""
