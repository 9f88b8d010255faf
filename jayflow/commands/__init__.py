"""Run the commands; a process imports only the one that it runs."""
