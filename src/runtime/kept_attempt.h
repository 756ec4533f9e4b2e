#pragma once

/// Internal to the ProxyServer: an attempt that stays open while its exchange makes another one;
/// see proxy::RequestIo::keepAttempt().

#include <memory>
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
  virtual void onKeptHead(const MessageHead& head) = 0;
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
  /// Returns the connection, whose user must be changed by the caller.
  std::shared_ptr<UpstreamConnection> release() { return std::move(connection_); }

 private:
  void onUpstreamReady() override {}
  void onUpstreamWritten() override {}
  void onUpstreamInterim(unsigned) override { owner_.onKeptReceived(); }
  void onUpstreamHead(const MessageHead& head) override { owner_.onKeptHead(head); }
  // The attempt ends, or gets another user, when its answer's head arrives.
  void onUpstreamBody(std::string_view) override {}
  void onUpstreamPause() override {}
  void onUpstreamComplete() override {}
  void onUpstreamFailed(UpstreamFailure failure) override { owner_.onKeptFailed(failure); }

  KeptAttemptOwner& owner_;
  proxy::AttemptPlan plan_;
  std::shared_ptr<UpstreamConnection> connection_;
};

}  // namespace coursepond::runtime
