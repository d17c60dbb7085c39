"""What a running process tells about itself, on its RPC listener: status, workers, jobs, a job's history."""
