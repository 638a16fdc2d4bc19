"""The gateway's decision logic, without input and output.

Times, randomness and observations are passed in as arguments, so that a test
can replay a load on these modules alone.
"""
