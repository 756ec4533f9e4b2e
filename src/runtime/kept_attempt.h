#pragma once

/// Internal to the ProxyServer: an attempt that stays open while its exchange makes another one;
/// see proxy::RequestIo::keepAttempt().

#include <memory>
#include <string>
#include <utility>

#include "proxy/request_flow.h"
#include "runtime/upstream_connection.h"

namespace coursepond::runtime {

/// The exchange of a kept attempt. It may end the attempt inside any of these calls.
class KeptAttemptOwner {
 public:
  virtual ~KeptAttemptOwner() = default;
  /// The next hop confirmed that it received the request.
  virtual void onKeptReceived() = 0;
  /// Returns whether the answer is to be collected. If so, onKeptAnswer() follows.
  virtual bool onKeptHead(const MessageHead& head) = 0;
  /// The collected answer is whole. `connection`, on which it arrived, is back with its owner.
  virtual void onKeptAnswer(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  virtual void onKeptFailed(UpstreamFailure failure) = 0;
};

class KeptAttempt final : private UpstreamUser {
 public:
  /// Takes over a connection on which the whole request of `plan` was sent and no answer's head has
  /// arrived. `owner` must outlive this.
  KeptAttempt(KeptAttemptOwner& owner, proxy::AttemptPlan plan,
              std::shared_ptr<UpstreamConnection> connection)
      : owner_(owner), plan_(std::move(plan)), connection_(std::move(connection)) {
    connection_->changeUser(*this);
  }
  /// Abandons the attempt unless release() was called.
  ~KeptAttempt() override {
    if (connection_) connection_->abandon();
  }
  KeptAttempt(const KeptAttempt&) = delete;
  KeptAttempt& operator=(const KeptAttempt&) = delete;

  const proxy::AttemptPlan& plan() const { return plan_; }
  UpstreamConnection& connection() { return *connection_; }
  /// Returns the connection, whose user must be changed by the caller; null if the answer is whole.
  std::shared_ptr<UpstreamConnection> release() { return std::move(connection_); }
  /// Head of the answer that is being collected, or is whole; null if none has arrived. Valid until
  /// the connection gets another request.
  const MessageHead* head() const { return head_; }
  bool isWhole() const { return !connection_; }
  const std::string& body() const { return body_; }
  std::string takeBody() { return std::move(body_); }

 private:
  void onUpstreamReady() override {}
  void onUpstreamWritten() override {}
  void onUpstreamInterim(unsigned) override { owner_.onKeptReceived(); }
  void onUpstreamHead(const MessageHead& head) override {
    // Otherwise the owner may have ended this attempt.
    if (owner_.onKeptHead(head)) head_ = &head;
  }
  void onUpstreamBody(std::string_view piece) override { body_.append(piece); }
  void onUpstreamPause() override { connection_->resume(); }
  void onUpstreamComplete() override {
    const std::shared_ptr<UpstreamConnection> connection = std::move(connection_);
    owner_.onKeptAnswer(connection);
  }
  void onUpstreamFailed(UpstreamFailure failure) override { owner_.onKeptFailed(failure); }

  KeptAttemptOwner& owner_;
  proxy::AttemptPlan plan_;
  std::shared_ptr<UpstreamConnection> connection_;
  const MessageHead* head_ = nullptr;
  std::string body_;  ///< The part of the collected answer that has arrived.
};

}  // namespace coursepond::runtime
