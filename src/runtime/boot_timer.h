#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "core/time.h"

namespace coursepond::runtime {

/// An Asio timer on the boot clock, which also advances while the machine is suspended. After a
/// suspension, overdue timers fire together with the next timer that wakes the process. While a
/// connection is open, that is at most one tick of the DeadlineWatch later.
using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace coursepond::runtime
