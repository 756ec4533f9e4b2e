#pragma once

/// How a suspended machine's clocks are brought about in a process that was only stopped.

#include <csignal>

namespace coursepond::soak {

/// Tells a process, with a number of milliseconds, that its steady clock did not count them.
inline int clockSignal() { return SIGRTMIN + 4; }

}  // namespace coursepond::soak
