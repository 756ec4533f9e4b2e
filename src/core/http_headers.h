#pragma once

/// The HTTP headers coursepond's data path gives a meaning to, towards callers and back ends.

namespace coursepond::http_headers {

/// A caller's own id of a request; passed through, made up when absent, and echoed.
inline constexpr char kRequestId[] = "X-Request-Id";
/// Milliseconds the caller will still wait, a decimal number. Shrinks at every hop.
inline constexpr char kDeadlineMs[] = "X-Deadline-Ms";
/// "interactive" (default) or "batch". Batch is shed first.
inline constexpr char kPriority[] = "X-Priority";
/// On a refusal or failure: "not-run" (surely did not run) or "unknown" (may have run).
inline constexpr char kOutcome[] = "X-Outcome";
inline constexpr char kOutcomeNotRun[] = "not-run";
inline constexpr char kOutcomeUnknown[] = "unknown";
/// Why the node refused or failed a request: a stable word, such as "no_route" or "queue_full".
inline constexpr char kReason[] = "X-Reason";
/// From a back end: "1" while it is leaving and takes no new work.
inline constexpr char kDraining[] = "X-Draining";
/// From a back end: its load, "busy/slots", for example "3/20". May lag or lie.
inline constexpr char kLoad[] = "X-Load";
/// Towards a back end: which attempt of the request this is, from 1.
inline constexpr char kAttempt[] = "X-Attempt";
/// On every answer of a node: the configuration version the request was served under.
inline constexpr char kConfigurationVersion[] = "X-Configuration-Version";
/// From a back end: it did not run the request.
inline constexpr char kNotRun[] = "X-Not-Run";
/// Towards a back end: the only instance that may run the request.
inline constexpr char kTargetInstance[] = "X-Target-Instance";
/// Towards a back end: the service whose machine the request began on.
inline constexpr char kCallerService[] = "X-Caller-Service";
/// From a caller: the API key of its tenant. Ends at the node that takes the request in.
inline constexpr char kApiKey[] = "X-Api-Key";
/// Towards a back end: the tenant whose request it is.
inline constexpr char kTenant[] = "X-Tenant";
/// From a back end: its instance.
inline constexpr char kInstance[] = "X-Instance-Id";
/// From a back end, where it tells its health: for how many more milliseconds it is cold.
inline constexpr char kColdLeftMs[] = "X-Cold-Left-Ms";
/// From an egress to an ingress: "service,rank,target latency in ms,repeatable 0|1,
/// call 0|1,share of a repeat in thousandths,may wait 0|1,fingerprint in hexadecimal digits,
/// trial 0|1".
inline constexpr char kHopClass[] = "X-Hop-Class";
/// From an ingress to an egress: "running,waiting,slots,mean service time in ms,draining 0|1".
inline constexpr char kHopLoad[] = "X-Hop-Load";

}  // namespace coursepond::http_headers
