#include <iostream>

#include "cli/command.h"

int main(int argc, char** argv) {
  const coursepond::cli::Arguments arguments(argv + 1, argv + argc);
  const coursepond::cli::Streams streams{std::cout, std::cerr};
  return static_cast<int>(coursepond::cli::runCommandLine(arguments, streams));
}
