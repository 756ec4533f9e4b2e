#include "core/error.h"

namespace coursepond {
namespace {

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "coursepond"; }
  std::string message(int value) const override {
    return std::string(kindName(static_cast<ErrorKind>(value)));
  }
};

}  // namespace

std::string_view kindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kMissingDependency:
      return "missing_dependency";
    case ErrorKind::kDigestMismatch:
      return "digest_mismatch";
    case ErrorKind::kVersionRegression:
      return "version_regression";
    case ErrorKind::kBaseMismatch:
      return "base_mismatch";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kNoQuorum:
      return "no_quorum";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kMalformed:
      return "malformed";
    case ErrorKind::kUnauthorized:
      return "unauthorized";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kTimeout:
      return "timeout";
  }
  return "unknown_error_kind";
}

const std::error_category& errorCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorKind kind) {
  return {static_cast<int>(kind), errorCategory()};
}

std::string describe(const Error& error) {
  std::string text = std::string(kindName(error.kind)) + ": " + error.message;
  if (!error.remedy.empty()) text += " (remedy: " + error.remedy + ")";
  return text;
}

void throw_exception_from_error(const Error& error, const boost::source_location&) {
  throw std::system_error(error.code(), describe(error));
}

}  // namespace coursepond
