#include "runtime/http_message.h"

#include "core/ascii.h"

namespace coursepond::runtime {

std::optional<std::string_view> findHeader(const HeaderFields& headers, std::string_view name) {
  for (const HeaderField& field : headers) {
    if (equalsIgnoringCase(field.name, name)) return field.value;
  }
  return std::nullopt;
}

std::string_view HttpRequest::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query() const {
  const std::size_t question_mark = target.find('?');
  if (question_mark == std::string::npos) return {};
  return std::string_view(target).substr(question_mark + 1);
}

}  // namespace coursepond::runtime
