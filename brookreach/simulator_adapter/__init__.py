"""The bench's wire: frames in and out, and one marshal hosted for each instance. It only translates."""
