#pragma once

/// The signal that simulates the clocks of a suspended machine in a process that was only stopped.

#include <csignal>

namespace coursepond::soak {

/// Returns the signal whose integer value is the number of milliseconds by which the steady clock
/// of the process is set back.
inline int clockSignal() { return SIGRTMIN + 4; }

}  // namespace coursepond::soak
