"""What the gateway decides, apart from input and output.

Times, randomness and what was observed come in as arguments, so that a test
can replay a load on these modules alone.
"""
