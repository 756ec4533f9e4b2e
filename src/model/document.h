#pragma once

/// Reads the platform's configuration documents and writes the canonical form.
///
/// Shape of a document (JSON; the full description is in docs/operators/CONFIGURATION.md):
///   {"version": 7,
///    "routes":   [{"name", "host"?, "path_prefix"?,
///                  "prefix_match"?: "segments"|"text", "methods"?: [..],
///                  "headers"?: [{"name","value"}], "service", "secrets"?: [{"secret","header"}],
///                  "zones"?: [..], "regions"?: [..], "priority"?: "interactive"|"batch",
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

/// A mistake in a document and its location, such as "routes[3].service".
struct DocumentMistake {
  std::string path;
  Error error;
};

/// Returns all mistakes in the document, including those of the closure check. Empty if the
/// document is valid.
std::vector<DocumentMistake> checkDocument(std::string_view json);

/// Returns the complete document or its first mistake, never a part of it. Includes the closure
/// check.
Result<ConfigurationDocument> parseDocument(std::string_view json);

/// Checks that the service and the secrets of every route are defined.
std::vector<DocumentMistake> checkClosure(const Configuration& configuration);

/// Returns the canonical text of a configuration, without its version and without secret values.
/// Equal configurations have equal text, independent of the order in the platform's document.
std::string canonicalText(const Configuration& configuration);

/// Parses the output of canonicalText as received from a peer. The version is passed separately.
Result<Configuration> parseCanonical(Version version, std::string_view text);

/// Returns the digest of canonicalText. Acceptance records refer to a configuration by this digest.
Digest contentDigest(const Configuration& configuration);

}  // namespace coursepond::model
