#pragma once

/// Chooses the requests of a load run: weighted request kinds, selected by request number alone so
/// that every run sends the same sequence.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace coursepond::load {

/// A kind of request and its share of the load.
struct RequestKind {
  std::uint32_t weight = 1;
  std::string method = "GET";
  std::string host;
  std::string target;            ///< With `size=` in its query; see parseRequestKind.
  std::size_t answer_bytes = 0;  ///< Expected length of the answer's body.
  bool repeatable = true;        ///< GET, HEAD, OPTIONS, PUT and DELETE, unless marked "once".
};

/// Parses "WEIGHT METHOD HOST TARGET [once]". A target without `size=` in its query gets
/// `default_answer_bytes`. Fails with kInvalidArgument.
Result<RequestKind> parseRequestKind(std::string_view text, std::size_t default_answer_bytes);

class RequestMix {
 public:
  /// Requires at least one kind with a weight above zero.
  explicit RequestMix(std::vector<RequestKind> kinds);

  /// Returns the kind of the request with this number, which is the same in every run.
  const RequestKind& kindOf(std::uint64_t number) const;

 private:
  std::vector<RequestKind> kinds_;
  std::uint64_t total_weight_ = 0;
};

}  // namespace coursepond::load
