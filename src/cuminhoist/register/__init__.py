"""Replicated register of the declared state, decided by Paxos ballots."""
