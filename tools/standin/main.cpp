/// coursepond-standin: simulates the platform or a back end in tests and in the demo.

#include <exception>
#include <iostream>
#include <string_view>

#include "programs.h"

int main(int argc, char** argv) {
  const std::string_view program = argc > 1 ? argv[1] : "";
  try {
    if (program == "platform") return coursepond::standin::runPlatform(argc - 1, argv + 1);
    if (program == "backend") return coursepond::standin::runBackend(argc - 1, argv + 1);
  } catch (const std::exception& error) {
    std::cerr << "coursepond-standin: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  std::cerr << "usage: coursepond-standin platform|backend [flags]\n";
  return EXIT_FAILURE;
}
