#pragma once

/// The two stand-in programs. Each parses its flags, listens and runs until SIGTERM or SIGINT.

namespace coursepond::standin {

/// `coursepond-standin platform`: serves configurations and machines. Returns the exit status.
int runPlatform(int argc, char** argv);

/// `coursepond-standin backend`: serves work and drains on a signal before it exits. Returns the
/// exit status.
int runBackend(int argc, char** argv);

}  // namespace coursepond::standin
