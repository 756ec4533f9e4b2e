#pragma once

/// One request on its way through a node: route, admit, choose a server, retry, give up. A state
/// machine without sockets. The I/O layer (runtime) and the simulator both implement RequestIo
/// and feed events in.
///
/// Lifetime: start() -> any of { startAttempt .. events } -> exactly one of forwardAnswer()
/// followed by onAnswerComplete()/onAnswerCut(), or answerLocally(). After that, or after
/// onCallerGone(), the flow is finished and calls nothing more.

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

namespace coursepond::proxy {

class ProxyState;

struct HeaderField {
  std::string name;
  std::string value;
};

/// Units of HopClass::repeat_share on the wire: thousandths.
inline constexpr double kRepeatShareUnits = 1000.0;

/// What an egress tells an ingress of a request, so that the ingress can order its queue.
struct HopClass {
  std::string service;        ///< That is to run it.
  std::uint32_t rank = 0;     ///< The lowest goes first.
  Duration target_latency{};  ///< Zero: not known.
  bool is_repeatable = false;
  /// Made by a server for a request that it runs: while it waits, that one holds its slot.
  bool is_call = false;
  /// From 0 to 1: how likely it is that this run counts as a repeat. 1 when a server may have seen
  /// the request before; for a call, the part of the calling server's runs that are repeats.
  double repeat_share = 0;
  /// Whether it may wait for a slot; otherwise only a free one will do.
  bool may_wait = true;
  RequestFingerprint fingerprint{};  ///< Empty: not known.
  /// Servers ended under this request: it shows here whether they do so again.
  bool is_trial = false;
};

/// What an ingress tells egresses of its server, with every answer.
struct HopLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  Duration service_time{};  ///< Moving average.
  bool draining = false;    ///< Takes no new work: the server or the ingress itself is leaving.
};

/// What the flow needs of a request's head.
struct RequestHead {
  std::string request_id;
  std::string method;
  std::string host;  ///< Lower case, without the port.
  std::string path;  ///< Without the query.
  std::vector<HeaderField> headers;
  std::optional<Duration> deadline;  ///< From X-Deadline-Ms.
  std::optional<model::Priority> priority;
  std::optional<HopClass> hop_class;  ///< From an egress.
  std::string target_instance;        ///< The only instance that may run it; empty: any.
  std::optional<Digest> key_digest;   ///< Of the API key that it carries.
  std::string tenant;  ///< Whose it is, as the hop before says. Not to be trusted from a caller.
  RequestFingerprint fingerprint{};  ///< Of what its caller sent; empty at an ingress.
};

using AttemptId = std::uint32_t;

/// Send the request to this server now.
struct AttemptPlan {
  AttemptId id = 0;  ///< From 1.
  ServiceName service;
  model::Endpoint endpoint;
  Duration remaining;       ///< Until the deadline; goes into X-Deadline-Ms.
  bool replayable = false;  ///< The I/O layer should keep the body for a possible further attempt.
  /// X-Attempt, X-Priority for batch work, and the route's secrets (never log). X-Deadline-Ms and
  /// X-Request-Id are the I/O layer's.
  std::vector<HeaderField> headers_to_set;
  // Of an egress: what the next hop is told.
  std::string target_instance;
  ServiceName caller_service;
  /// The caller's API key and what it says of the tenant are left out, and `tenant` is told.
  bool replaces_tenant = false;
  TenantName tenant;  ///< Whose the request is; empty: nobody's.
  std::optional<HopClass> hop_class;
  /// The body is held back until the next hop says that it is about to run the request. Until
  /// then the request surely has not run.
  bool confirm = false;
};

/// How an attempt ended without an answer's head.
enum class AttemptFailure {
  kConnectFailed,     ///< No byte was sent.
  kNoConnectionFree,  ///< The connection budget of the server is used up; no byte was sent.
  kClosedUnsent,      ///< A kept connection turned out closed before any byte was written.
  kCannotReplay,      ///< The body is no longer at hand: no byte of this attempt was sent.
  kLostAfterSend,     ///< Bytes were sent and the connection was lost before an answer's head.
  kMalformedAnswer,   ///< The server answered something that is not HTTP, or over limits.
};

/// The head of a server's answer.
struct AnswerHead {
  int status = 0;
  bool not_run = false;   ///< X-Outcome: not-run, or the server's own word for it.
  bool draining = false;  ///< X-Draining: 1.
  std::optional<Duration> retry_after;
  std::optional<double> load;  ///< busy/slots of X-Load.
  /// The answer carries X-Configuration-Version: one of our nodes, deeper in the call, made it.
  bool from_node = false;
  std::string request_id;        ///< As the answer carries it back.
  bool is_signed = false;        ///< Carries a server's signature.
  bool is_encoded = false;       ///< Its body is not the server's own bytes.
  std::string instance;          ///< The server's own instance, if it says so.
  std::uint64_t body_bytes = 0;  ///< As far as it is known when the head is told.
  std::optional<HopLoad> hop_load;
  std::string_view node_outcome;  ///< X-Outcome: one of our nodes made this answer.
  std::string_view node_reason;   ///< X-Reason beside it.
};

enum class Outcome { kNotRun, kUnknown };

/// The node's own final answer to the caller.
struct LocalAnswer {
  int status = 0;  ///< 400, 401, 404, 429, 431, 503 (not run), 502 or 504 (unknown).
  Outcome outcome = Outcome::kNotRun;
  std::string reason;                   ///< X-Reason: a stable word.
  std::optional<Duration> retry_after;  ///< Always set with 429 and 503.
};

/// The I/O layer's side. Called from inside flow events, also from those of other requests (a slot
/// that one request frees starts the next). May call back into the flow, or destroy it, only from
/// a later event.
class RequestIo {
 public:
  virtual ~RequestIo() = default;
  virtual void startAttempt(const AttemptPlan& plan) = 0;
  /// Give the attempt up: close its connection, never reuse it. No event for it follows.
  virtual void cancelAttempt(AttemptId attempt) = 0;
  /// Whether the first byte of the request may have left for the server. Asked just before
  /// cancelAttempt(); when in doubt, true (the caller is then told "unknown").
  virtual bool bytesSent(AttemptId) const { return true; }
  /// The answer whose head was just reported is not wanted: no event for the attempt follows. A
  /// short remainder may be read so that the connection can be kept; the default closes it.
  virtual void discardAnswer(AttemptId attempt) { cancelAttempt(attempt); }
  /// Stream the answer whose head was just reported to the caller.
  virtual void forwardAnswer(AttemptId attempt) = 0;
  virtual void answerLocally(const LocalAnswer& answer) = 0;
};

/// One request on its way through a node, as the I/O layer drives it. Destroyed when its answer is
/// written, or its connection is gone.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual void start() = 0;
  virtual void onAttemptFailed(AttemptId attempt, AttemptFailure failure) = 0;
  /// The next hop said that it has the request.
  virtual void onAttemptReceived(AttemptId) {}
  virtual void onAnswerHead(AttemptId attempt, const AnswerHead& head) = 0;
  /// The whole answer was passed on.
  virtual void onAnswerComplete(AttemptId attempt) = 0;
  /// The answer broke off half way: the caller's connection must be cut, never ended short.
  virtual void onAnswerCut(AttemptId attempt) = 0;
  virtual void onCallerGone() = 0;
  /// The version this request is served under (zero when none was in force).
  virtual Version configurationVersion() const = 0;
  /// What the next hop towards the caller is told with the answer, if this is an ingress.
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

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace coursepond::proxy
