#pragma once

/// Reads the platform's configuration documents and writes the canonical form.
///
/// Shape of a document (JSON; the full description is in docs/operators/CONFIGURATION.md):
///   {"version": 7,
///    "routes":   [{"name", "host"?, "path_prefix"?, "methods"?: [..], "headers"?:
///    [{"name","value"}],
///                  "service", "secrets"?: [{"secret","header"}], "zones"?: [..], "regions"?: [..],
///                  "priority"?: "interactive"|"batch",
///                  "repeatable"?: "by_method"|"always"|"never", "timeout_ms"?,
///                  "split"?: [{"service","weight"}], "longest_hold_ms"?, "target_latency_ms"?,
///                  "rank"?, "max_attempts"?}],
///    "services": [{"name", "slots_per_server"?, "connections_per_server"?, "queue_limit"?,
///                  "retry_budget_percent"?, "max_attempts"?, "health_path"?, "warm_up_ms"?,
///                  "cold_rate_per_1000_s"?}],
///    "secrets":  [{"name", "value"}],
///    "limits"?:  {"head_bytes"?, "body_bytes"?, "head_timeout_ms"?, "idle_timeout_ms"?}}

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "model/configuration.h"

namespace coursepond::model {

/// A mistake in a document, with the place: "routes[3].service".
struct DocumentMistake {
  std::string path;
  Error error;
};

/// Every mistake in the document, the closure check included. Empty means it parses.
std::vector<DocumentMistake> checkDocument(std::string_view json);

/// The whole document or its first mistake; never a part. Includes the closure check.
Result<ConfigurationDocument> parseDocument(std::string_view json);

/// Every route names a service that is there and secrets that are there.
std::vector<DocumentMistake> checkClosure(const Configuration& configuration);

/// The canonical text of a configuration, without its version and without secret values: equal
/// configurations have equal text, whatever the order in the platform's document.
std::string canonicalText(const Configuration& configuration);

/// Reads canonicalText's output (between peers); the version is given beside it.
Result<Configuration> parseCanonical(Version version, std::string_view text);

/// The digest of canonicalText. This is what acceptance records name.
Digest contentDigest(const Configuration& configuration);

}  // namespace coursepond::model
