"""The simulator's wire: frames in and out, and one balancer for each instance. It only translates."""
