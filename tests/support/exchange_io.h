#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/request_flow.h"

namespace coursepond::proxy {

/// Fake I/O layer of one exchange: records the calls that the exchange makes.
class ExchangeIo final : public RequestIo {
 public:
  void startAttempt(const AttemptPlan& plan) override { plans.push_back(plan); }
  void cancelAttempt(AttemptId attempt) override { cancelled.push_back(attempt); }
  bool keepAttempt(AttemptId attempt) override {
    if (can_keep) kept.push_back(attempt);
    return can_keep;
  }
  void resumeAttempt(AttemptId attempt) override { resumed.push_back(attempt); }
  bool bytesSent(AttemptId) const override { return bytes_sent; }
  void discardAnswer(AttemptId attempt) override { discarded.push_back(attempt); }
  bool holdAnswer(AttemptId attempt) override {
    if (can_hold) held.push_back(attempt);
    return can_hold;
  }
  void answerWithHeld() override { ++held_sent; }
  std::optional<Digest> bodyDigest() const override { return body_digest; }
  bool awaitBody() override {
    if (can_await_body) ++body_waits;
    return can_await_body;
  }
  void forwardAnswer(AttemptId attempt) override { forwarded.push_back(attempt); }
  void answerLocally(const LocalAnswer& answer) override { answers.push_back(answer); }

  std::vector<AttemptPlan> plans;
  std::vector<AttemptId> cancelled;
  std::vector<AttemptId> kept;
  std::vector<AttemptId> resumed;
  std::vector<AttemptId> discarded;
  std::vector<AttemptId> held;
  std::vector<AttemptId> forwarded;
  std::vector<LocalAnswer> answers;
  bool bytes_sent = true;
  bool can_keep = true;
  bool can_hold = false;              ///< Answers are short enough to be held.
  int held_sent = 0;                  ///< Calls of answerWithHeld().
  int body_waits = 0;                 ///< Calls of awaitBody().
  bool can_await_body = false;        ///< The body has not arrived and may be held.
  std::optional<Digest> body_digest;  ///< Of the request's body; empty until it has arrived.
};

/// One exchange and its fake I/O layer.
struct TestExchange {
  ExchangeIo io;
  std::unique_ptr<Exchange> flow;
  std::string id;

  const AttemptPlan& plan() const { return io.plans.back(); }
  std::string server() const { return plan().endpoint.id.value(); }
  bool isOpen() const { return io.answers.empty() && io.forwarded.empty() && io.held_sent == 0; }

  void answer(AnswerHead head) { flow->onAnswerHead(plan().id, head); }
  void fail(AttemptFailure failure) { flow->onAttemptFailed(plan().id, failure); }

  /// Returns the head of a valid, signed answer of a server.
  static AnswerHead properHead(const std::string& id, int status = 200) {
    AnswerHead head;
    head.status = status;
    head.request_id = id;
    head.is_signed = true;
    return head;
  }
  void answerWhole(int status = 200) {
    answer(properHead(id, status));
    if (!io.forwarded.empty()) flow->onAnswerComplete(plan().id);
  }
};

}  // namespace coursepond::proxy
