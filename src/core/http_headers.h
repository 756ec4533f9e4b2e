#pragma once

/// Names of the HTTP headers that coursepond's data path uses towards callers and back ends.

namespace coursepond::http_headers {

/// From a caller: its id of the request. Passed through and echoed; generated if absent.
inline constexpr char kRequestId[] = "X-Request-Id";
/// Remaining milliseconds until the caller's deadline, a decimal number. Reduced at every hop.
inline constexpr char kDeadlineMs[] = "X-Deadline-Ms";
/// "interactive" (default) or "batch". Batch is shed first.
inline constexpr char kPriority[] = "X-Priority";
/// On a refusal or failure: "not-run" (the request certainly did not run) or "unknown" (it may have
/// run).
inline constexpr char kOutcome[] = "X-Outcome";
inline constexpr char kOutcomeNotRun[] = "not-run";
inline constexpr char kOutcomeUnknown[] = "unknown";
/// Why the node refused or failed a request: a stable identifier such as "no_route" or
/// "queue_full".
inline constexpr char kReason[] = "X-Reason";
/// From a back end: "1" while it is leaving and takes no new work.
inline constexpr char kDraining[] = "X-Draining";
/// From a back end: the requests per second that it accepts from all callers together, a decimal
/// number. Absent: no limit.
inline constexpr char kServerLimit[] = "X-Server-Limit";
/// From a back end: its load as "busy/slots", for example "3/20", or as "running,waiting,slots",
/// which may be followed by ",slowness in percent" (100: work takes as long as usual). May be stale
/// or wrong.
inline constexpr char kLoad[] = "X-Load";
/// Towards a back end: number of the attempt of this request, counted from 1.
inline constexpr char kAttempt[] = "X-Attempt";
/// On every response of a node: the configuration version under which the request was served.
inline constexpr char kConfigurationVersion[] = "X-Configuration-Version";
/// From a back end: it did not run the request.
inline constexpr char kNotRun[] = "X-Not-Run";
/// Towards a back end: the only instance that may run the request.
inline constexpr char kTargetInstance[] = "X-Target-Instance";
/// Towards a back end: the service on whose machine the request originated.
inline constexpr char kCallerService[] = "X-Caller-Service";
/// From a caller: the API key of its tenant. Removed by the node that receives the request.
inline constexpr char kApiKey[] = "X-Api-Key";
/// Towards a back end: the tenant to which the request belongs.
inline constexpr char kTenant[] = "X-Tenant";
/// From a back end: its instance id.
inline constexpr char kInstance[] = "X-Instance-Id";
/// From a back end, in its health response: for how many more milliseconds it is cold.
inline constexpr char kColdLeftMs[] = "X-Cold-Left-Ms";
/// From an egress to an ingress: "service,rank,target latency in ms,repeatable 0|1,
/// call 0|1,share of a repeat in thousandths,may wait 0|1,
/// fingerprint of the whole request in hexadecimal digits or zero,
/// trial of that fingerprint 0|1,known limit of the server in requests per 1000 s or nothing,
/// returning 0|1,number of the sender's clock,time of sending by that clock in ms,
/// fingerprint of the head or nothing,fingerprint that a trial is allowed of or nothing". The last
/// two may be left out together.
inline constexpr char kHopClass[] = "X-Hop-Class";
/// From an ingress to an egress: "running,waiting,slots,mean service time in ms,draining 0|1,
/// limit of the server in requests per 1000 s or 'none', nothing if
/// it is not known,link backlog in ms,admission level in thousandths or nothing,
/// slowness of the server in percent or nothing if it reports none".
inline constexpr char kHopLoad[] = "X-Hop-Load";
/// In kHopLoad: the server has no limit.
inline constexpr char kNoLimit[] = "none";

}  // namespace coursepond::http_headers
