#pragma once

/// Lets tests compare pages of the repository with the code.

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace coursepond::testing {

/// Returns the path of a file given relative to the repository's root. The working directory of
/// the test must be inside the repository.
inline std::filesystem::path findRepositoryFile(const std::filesystem::path& path) {
  std::filesystem::path folder = std::filesystem::current_path();
  while (!std::filesystem::exists(folder / path) && folder != folder.root_path()) {
    folder = folder.parent_path();
  }
  return folder / path;
}

inline std::string readRepositoryFile(const std::filesystem::path& path) {
  std::ifstream file(findRepositoryFile(path));
  REQUIRE_MESSAGE(file.good(), "run the tests from inside the repository");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Checks that the page, from the first occurrence of `marker` on, equals `reference`. If the
/// environment variable COURSEPOND_UPDATE_PAGES is set, rewrites this part of the page instead.
inline void checkPageEndsWith(const std::filesystem::path& path, const std::string& marker,
                              const std::string& reference) {
  const std::string page = readRepositoryFile(path);
  const std::size_t begin = page.find(marker);
  REQUIRE(begin != std::string::npos);
  if (std::getenv("COURSEPOND_UPDATE_PAGES") != nullptr) {
    std::ofstream(findRepositoryFile(path)) << page.substr(0, begin) << reference;
    return;
  }
  CHECK_MESSAGE(page.substr(begin) == reference,
                "the page is outdated: run this test with COURSEPOND_UPDATE_PAGES=1");
}

}  // namespace coursepond::testing
