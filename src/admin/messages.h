#pragma once

/// Messages between the operator APIs of different nodes, with their wire encoding (CBOR).

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/error.h"
#include "distribution/replica.h"
#include "model/document.h"

namespace coursepond::admin {

/// Matches an answer to its request. Unique per requesting node.
using RequestNumber = std::uint64_t;

/// Requests that one version (zero: the newest) is read from the platform and staged.
struct FetchRequest {
  RequestNumber number = 0;
  Version version;
  bool relay = false;  ///< A receiver that is not a reader may ask the readers of its zone.
  friend bool operator==(const FetchRequest&, const FetchRequest&) = default;
};

/// The version that is being staged, or the reasons why it could not be read.
struct FetchAnswer {
  RequestNumber number = 0;
  Version version;
  std::vector<model::DocumentMistake> mistakes;
};

/// Requests the states of a zone's proxies from a distributor.
struct ProxyStatesRequest {
  RequestNumber number = 0;
  friend bool operator==(const ProxyStatesRequest&, const ProxyStatesRequest&) = default;
};

struct ProxyStatesAnswer {
  RequestNumber number = 0;
  std::vector<distribution::ProxyState> proxies;
};

using Message = std::variant<FetchRequest, FetchAnswer, ProxyStatesRequest, ProxyStatesAnswer>;

std::string encodeAdminMessage(const Message& message);

/// Returns kMalformed for bytes that `encodeAdminMessage` does not produce. Never throws.
Result<Message> decodeAdminMessage(std::string_view bytes);

/// Returns the stable name of the message for counters, such as "fetch_request".
std::string_view messageName(const Message& message);

}  // namespace coursepond::admin
