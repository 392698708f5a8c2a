"""What a host costs: processor time for each request and each relayed event."""
