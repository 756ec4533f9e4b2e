#pragma once

#include <string_view>

#include "proxy/request_flow.h"

namespace coursepond::proxy {

/// Why the node itself answered. docs/operators/ROUTING.md says what to do about each.
enum class Reason {
  kNoConfiguration,     ///< No version is in force on this node yet.
  kNoRoute,             ///< No route matches.
  kStaleConfiguration,  ///< No route matches, but this node may have missed a version.
  kUnknownApiKey,       ///< The request needs an API key, and has none that a tenant holds.
  kUnknownParent,     ///< It has no API key, and the work that it says to be a call of is unknown.
  kQuotaExceeded,     ///< Its tenant has used what its quota allows.
  kAmbiguousPath,     ///< The path has "." or ".." segments.
  kStopping,          ///< This node is in a planned stop.
  kNoServer,          ///< No server of the service may take new work.
  kQueueFull,         ///< The service's queue on this node is full.
  kBatchShed,         ///< Batch work gave way to interactive work.
  kDeadlineTooShort,  ///< The expected wait for a slot is longer than the deadline.
  kNoFreeSlot,        ///< It was not to wait for a slot, and none is free.
  kLinkFull,          ///< Its answer would be large, and others are still being sent.
  kServerRejecting,   ///< It has another choice, and the server rejects much.
  kCrashesServers,    ///< Servers ended under it, or under others that they cannot tell from it.
  kQueueTimeout,      ///< Waited for a slot as long as the settings allow.
  kDeadline,          ///< The deadline passed.
  kServerDraining,    ///< The server or its ingress is leaving.
  kZoneDrained,       ///< Operators drained the server's zone, or all zones of the service.
  kWrongService,      ///< This machine's server is of another service.
  kRetryBudget,       ///< A repeat, and the calls it would make may not be repeated now.
  kOtherInstance,     ///< Another start of the server has the address: ask again for that one.
  kServerRefused,     ///< Servers refused, and no further attempt is allowed.
  kConnectFailed,     ///< No connection could be made.
  kConnectionLost,    ///< The connection was lost after the request was sent.
  kMalformedAnswer,   ///< The server's answer was not HTTP, or over limits.
};

/// The stable word for X-Reason: "queue_full".
std::string_view reasonWord(Reason reason);

/// The stable word for an attempt that ended without an answer: "connect_failed".
std::string_view failureWord(AttemptFailure failure);

}  // namespace coursepond::proxy
