#pragma once

/// Handles one request on a node: routing, admission, choice of a server, retries and the final
/// answer. A state machine without sockets. The I/O layer (runtime) and the simulator implement
/// RequestIo and deliver the events.
///
/// Lifetime: start() -> any number of { startAttempt .. events } -> exactly one of forwardAnswer()
/// followed by onAnswerComplete()/onAnswerCut(), or answerLocally(). After that, or after
/// onCallerGone(), the flow is finished and makes no further calls.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/digest.h"
#include "core/environment.h"
#include "core/request_fingerprint.h"
#include "model/endpoint.h"
#include "model/snapshot.h"
#include "proxy/server_limit.h"

namespace coursepond::proxy {

class ProxyState;

struct HeaderField {
  std::string name;
  std::string value;
};

/// HopClass::repeat_share is sent in thousandths.
inline constexpr double kRepeatShareUnits = 1000.0;

/// When an egress sent a request, by the clock of its process. Clocks of different processes cannot
/// be compared, only times of the same clock.
struct SendTime {
  std::uint32_t clock = 0;  ///< Identifies the clock; a random number of the process.
  Duration at{};            ///< Time since an arbitrary start.
};

/// Properties of a request that an egress sends to an ingress, which uses them to order its queue
/// and to decide about admission.
struct HopClass {
  std::string service;        ///< The service that must run the request.
  std::uint32_t rank = 0;     ///< Position in the queue; the lowest rank is served first.
  Duration target_latency{};  ///< Zero if not known.
  bool is_repeatable = false;
  /// The request was made by a server while it runs another request, which occupies a slot for as
  /// long as this one waits.
  bool is_call = false;
  /// Probability that this run counts as a repeat, from 0 to 1. It is 1 if a server may have seen
  /// the request before. For a call, it is the fraction of the calling server's runs that are
  /// repeats.
  double repeat_share = 0;
  /// Whether the request may wait for a slot. Otherwise it is refused if no slot is free.
  bool may_wait = true;
  RequestFingerprints fingerprints{};  ///< As far as they are known when the request is sent.
  /// A crash suspect. If the request is this one, its run tests whether it crashes the server
  /// again.
  RequestFingerprint trial_of{};
  /// Limit of the target instance, from an earlier answer; empty if the egress knows of none.
  std::optional<double> server_limit = std::nullopt;
  /// The caller was refused before and came back at the time that it was told.
  bool is_returning = false;
  std::optional<SendTime> sent = std::nullopt;  ///< Empty: not known.

  /// Whether this is known to be a trial; see `trial_of`.
  bool isTrial() const { return !trial_of.empty() && trial_of == fingerprints.whole; }
};

/// Numbers of requests per second are sent between nodes in thousandths.
inline constexpr double kLimitUnits = 1000.0;

/// Load of a server, which its ingress sends to egresses with every answer.
struct HopLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  Duration service_time{};  ///< Moving average.
  bool draining = false;    ///< The server or the ingress is leaving and takes no new requests.
  /// Whether the ingress knows if the server has a limit. It does not until the first answer after
  /// the start of either.
  bool is_limit_known = false;
  std::optional<double> server_limit = std::nullopt;  ///< Requests per second; see ServerLimit.
  /// How long the machine's link needs for the large answers that wait to be sent.
  Duration link_backlog{};
  /// Up to which rank, and which part of that rank, the ingress serves in time: 1.25 means all
  /// requests of ranks below 1 and a quarter of rank 1. Empty: all requests.
  std::optional<double> admission_level = std::nullopt;
  /// Of the server now, relative to its usual speed. Empty: the server reports none.
  std::optional<double> slowness = std::nullopt;
};

/// Admission levels are sent between nodes in thousandths, slowness in hundredths.
inline constexpr double kLevelUnits = 1000.0;
inline constexpr double kSlownessUnits = 100.0;

/// The parts of a request's head that the flow needs.
struct RequestHead {
  std::string request_id;
  std::string method;
  std::string host;  ///< Lower case, without the port.
  std::string path;  ///< Without the query.
  std::vector<HeaderField> headers;
  std::optional<Duration> deadline;  ///< From X-Deadline-Ms.
  std::optional<model::Priority> priority;
  std::optional<HopClass> hop_class;  ///< Sent by an egress.
  std::string target_instance;        ///< The only instance that may run it; empty if any may.
  std::optional<Digest> key_digest;   ///< Digest of the request's API key.
  std::string tenant;  ///< Tenant according to the previous hop. Not trusted if sent by a caller.
  /// Fingerprints of the caller's request that are known from the start; empty at an ingress.
  RequestFingerprints fingerprints{};
};

using AttemptId = std::uint32_t;

/// Describes an attempt: where to send the request and with which headers.
struct AttemptPlan {
  AttemptId id = 0;  ///< Starts at 1.
  ServiceName service;
  model::Endpoint endpoint;
  Duration remaining;       ///< Time until the deadline; sent in X-Deadline-Ms.
  bool replayable = false;  ///< The I/O layer should keep the body for a possible further attempt.
  /// X-Attempt, X-Priority for batch requests, and the route's secrets (never log). The I/O layer
  /// itself sets X-Deadline-Ms and X-Request-Id.
  std::vector<HeaderField> headers_to_set;
  // Only set by an egress, for the next hop.
  std::string target_instance;
  ServiceName caller_service;
  /// The caller's API key and tenant headers are removed, and `tenant` is sent instead.
  bool replaces_tenant = false;
  TenantName tenant;  ///< Tenant of the request; empty if it has none.
  std::optional<HopClass> hop_class;
  /// The body is not sent before the next hop reports that it is about to run the request. Until
  /// then it is certain that the request has not run.
  bool confirm = false;
};

/// Why an attempt ended without an answer's head.
enum class AttemptFailure {
  kConnectFailed,     ///< No byte was sent.
  kNoConnectionFree,  ///< The connection budget of the server is used up; no byte was sent.
  kClosedUnsent,      ///< A kept-alive connection was closed before any byte was written.
  kCannotReplay,      ///< The body is no longer available; no byte of this attempt was sent.
  kLostAfterSend,     ///< Bytes were sent, and the connection was lost before an answer's head.
  kMalformedAnswer,   ///< The server's answer is not valid HTTP or exceeds limits.
};

/// The head of a server's answer.
struct AnswerHead {
  int status = 0;
  bool not_run = false;   ///< X-Outcome: not-run, or the server's own header for it.
  bool draining = false;  ///< X-Draining: 1.
  LimitReport limit;      ///< X-Server-Limit.
  std::optional<Duration> retry_after;
  std::optional<double> load;  ///< busy/slots of X-Load.
  /// Slowness of the server now, relative to its usual speed, if X-Load contains it.
  std::optional<double> slowness;
  bool has_unusable_slowness = false;  ///< X-Load contains a slowness that is not plausible.
  /// The answer has X-Configuration-Version: another node deeper in the call created it.
  bool from_node = false;
  std::string request_id;        ///< The request id that the answer returns.
  bool is_signed = false;        ///< The answer has a server's signature.
  bool is_encoded = false;       ///< Has a Content-Encoding: not the server's own bytes.
  std::string instance;          ///< The server's instance id, if it sent one.
  std::uint64_t body_bytes = 0;  ///< As far as it is known when the head arrives.
  std::optional<HopLoad> hop_load;
  std::string_view node_outcome;  ///< X-Outcome, if a node created this answer.
  std::string_view node_reason;   ///< X-Reason, if a node created this answer.
};

enum class Outcome { kNotRun, kUnknown };

/// A final answer to the caller that this node created itself.
struct LocalAnswer {
  int status = 0;  ///< 400, 401, 404, 429, 431, 503 (not run), 502 or 504 (unknown).
  Outcome outcome = Outcome::kNotRun;
  std::string reason;                   ///< X-Reason: a stable name.
  std::optional<Duration> retry_after;  ///< Always set with 429 and 503.
};

/// Implemented by the I/O layer. Its functions are called while the flow handles an event, also an
/// event of another request (a slot that one request frees starts the next). They must not call the
/// flow or destroy it before a later event.
class RequestIo {
 public:
  virtual ~RequestIo() = default;
  virtual void startAttempt(const AttemptPlan& plan) = 0;
  /// Cancels the attempt. Its connection must be closed and not reused. No event for the attempt
  /// may follow.
  virtual void cancelAttempt(AttemptId attempt) = 0;
  /// Keeps the current attempt open beside the next one, because its server may be running the
  /// request. Returns false if that is not possible; nothing has changed then. At most one attempt
  /// is kept at a time. Its acknowledgement, its failure and the head of its answer are reported.
  /// When the head is reported, the flow must resume or cancel the attempt, or discard the answer.
  virtual bool keepAttempt(AttemptId) { return false; }
  /// Makes the kept attempt the current one again. The other attempt must have ended. If this is
  /// called while the head of its answer is reported, the head is reported again, to be forwarded.
  virtual void resumeAttempt(AttemptId) {}
  /// Returns whether the first byte of the request may have been sent to the server. Called just
  /// before cancelAttempt(). Must return true if that is not known; the outcome for the caller is
  /// then "unknown".
  virtual bool bytesSent(AttemptId) const { return true; }
  /// Discards the answer whose head was just reported. No event for the attempt may follow. A short
  /// remainder may be read so that the connection can be kept. The default closes the connection.
  virtual void discardAnswer(AttemptId attempt) { cancelAttempt(attempt); }
  /// Holds the answer whose head was just reported, in place of one that was held before. No event
  /// for the attempt may follow. Returns false if the whole answer is not at hand; nothing has
  /// changed then.
  virtual bool holdAnswer(AttemptId) { return false; }
  /// Sends the held answer to the caller. Ends the request as answerLocally() does.
  virtual void answerWithHeld() {}
  /// Returns the digest of the request's whole body, or nothing while it is not known.
  virtual std::optional<Digest> bodyDigest() const { return std::nullopt; }
  /// Receives the body before the request is sent to a server, until it is whole or more may not be
  /// held. Exchange::onBodyAwaited() follows in a later event. Returns false if nothing more can be
  /// held.
  virtual bool awaitBody() { return false; }
  /// Streams the answer whose head was just reported to the caller.
  virtual void forwardAnswer(AttemptId attempt) = 0;
  virtual void answerLocally(const LocalAnswer& answer) = 0;
};

/// One request on a node, as driven by the I/O layer. Destroyed when its answer is written or its
/// connection is closed.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual void start() = 0;
  virtual void onAttemptFailed(AttemptId attempt, AttemptFailure failure) = 0;
  /// Called when the next hop confirmed that it received the request.
  virtual void onAttemptReceived(AttemptId) {}
  /// Called after RequestIo::awaitBody() returned true.
  virtual void onBodyAwaited() {}
  /// Called when the whole body has been received, before its last part is passed on. If this
  /// returns false, the next hop never gets that part, and onRequestWithheld() follows, unless the
  /// answer is being forwarded already.
  virtual bool mayCompleteRequest(AttemptId) { return true; }
  virtual void onRequestWithheld(AttemptId) {}
  virtual void onAnswerHead(AttemptId attempt, const AnswerHead& head) = 0;
  /// Called when the whole answer was forwarded.
  virtual void onAnswerComplete(AttemptId attempt) = 0;
  /// Called when the answer was truncated. The caller's connection must be aborted, so that the
  /// answer does not look complete.
  virtual void onAnswerCut(AttemptId attempt) = 0;
  virtual void onCallerGone() = 0;
  /// Returns the configuration version that this request uses, or zero if there was none.
  virtual Version configurationVersion() const = 0;
  /// Returns when the answer should be with the caller, by the target latency of its route.
  virtual TimePoint dueAt() const { return TimePoint(); }
  /// Returns when the forwarding of an answer of unknown length ends, whether it is whole or not.
  /// Otherwise a server could occupy the request's slot and its caller without end.
  virtual TimePoint latestEnd() const { return TimePoint::max(); }
  /// Returns the load to send with the answer towards the caller, if this is an ingress.
  virtual std::optional<HopLoad> hopLoad() const { return std::nullopt; }
};

class RequestFlow final : public Exchange {
 public:
  /// `state` (the node's shared data-path state) and `io` must outlive the flow.
  RequestFlow(RequestHead head, ProxyState& state, Environment& environment, RequestIo& io);
  ~RequestFlow() override;
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void start() override;
  void onAttemptFailed(AttemptId attempt, AttemptFailure failure) override;
  void onAnswerHead(AttemptId attempt, const AnswerHead& head) override;
  void onAnswerComplete(AttemptId attempt) override;
  void onAnswerCut(AttemptId attempt) override;
  void onCallerGone() override;
  Version configurationVersion() const override;
  TimePoint latestEnd() const override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::proxy
