#include "node/text_table.h"

#include <algorithm>

namespace coursepond::node {
namespace {

constexpr std::size_t kColumnGap = 2;

std::string renderRow(const std::vector<std::string>& cells,
                      const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    const bool last = i + 1 == cells.size();
    if (!last) line.append(widths[i] - cells[i].size() + kColumnGap, ' ');
  }
  return line + "\n";
}

}  // namespace

TextTable::TextTable(std::vector<std::string> headers) : headers_(std::move(headers)) {}

void TextTable::addRow(std::vector<std::string> cells) {
  cells.resize(headers_.size());
  rows_.push_back(std::move(cells));
}

std::string TextTable::render() const {
  std::vector<std::size_t> widths;
  for (const std::string& header : headers_) widths.push_back(header.size());
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  const bool has_no_headers = std::all_of(headers_.begin(), headers_.end(),
                                          [](const std::string& header) { return header.empty(); });
  std::string text;
  if (!has_no_headers) text += renderRow(headers_, widths);
  for (const std::vector<std::string>& row : rows_) text += renderRow(row, widths);
  return text;
}

}  // namespace coursepond::node
