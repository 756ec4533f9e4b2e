#pragma once

#include <string>
#include <vector>

namespace coursepond::node {

/// A table of aligned columns, for terminals and plain-text pages.
class TextTable {
 public:
  /// The header row is left out if all headers are empty.
  explicit TextTable(std::vector<std::string> headers);

  /// Adds a row with one cell per header. Missing cells are left empty.
  void addRow(std::vector<std::string> cells);

  std::string render() const;

 private:
  std::vector<std::string> headers_;
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace coursepond::node
