#include "http_message.h"

#include <algorithm>
#include <cctype>

namespace coursepond::standin {

namespace {

bool equalWithoutCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

}  // namespace

std::string_view HttpRequest::header(std::string_view name) const {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader& header) {
    return equalWithoutCase(header.name, name);
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::string_view HttpRequest::parameter(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
  }
  return {};
}

HttpReply jsonReply(int status, std::string json) {
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back({"Content-Type", "application/json"});
  reply.body = std::move(json);
  return reply;
}

}  // namespace coursepond::standin
