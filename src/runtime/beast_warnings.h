#pragma once

/// Include this before Beast. g++ 12 with sanitizers mistakes the empty optional that Beast returns
/// for a read of an uninitialized value. The warning points to Beast's lines but counts against the
/// including file.

#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
