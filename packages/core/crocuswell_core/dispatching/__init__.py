"""The leader's dispatching of tasks: workers in reach, policy, orders."""
