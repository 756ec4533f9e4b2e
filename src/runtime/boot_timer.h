#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "core/time.h"

namespace coursepond::runtime {

/// An Asio timer on the clock of all times. After a suspension of the machine, what is due goes off
/// with the next timer that the kernel wakes the process for, a tick of the DeadlineWatch later at
/// most while a connection is open.
using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace coursepond::runtime
