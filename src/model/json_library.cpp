// Compiles the implementation of Boost.JSON once, because Boost is used header-only here.

#include <boost/json/src.hpp>
