"""The parts of one node process, and the commands of operators."""
