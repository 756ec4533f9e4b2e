#pragma once

/// Fake environment with a manual clock and fake HTTP exchanges for the tests of the stand-ins.

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/environment.h"
#include "http_message.h"

namespace coursepond::standin {

class FakeEnvironment final : public Environment {
 public:
  TimePoint now() const override { return now_; }
  TimerId schedule(Duration delay, std::function<void()> callback) override {
    timers_[++last_] = {now_ + delay, std::move(callback)};
    return last_;
  }
  void cancel(TimerId timer) override { timers_.erase(timer); }
  std::uint64_t random(std::uint64_t) override { return 0; }

  /// Advances the clock and runs the timers that are due, in order of time.
  void advance(Duration time) {
    const TimePoint end = now_ + time;
    for (;;) {
      auto due = timers_.end();
      for (auto it = timers_.begin(); it != timers_.end(); ++it) {
        const bool earlier = due == timers_.end() || it->second.first < due->second.first;
        if (it->second.first <= end && earlier) due = it;
      }
      if (due == timers_.end()) break;
      now_ = due->second.first;
      const auto callback = std::move(due->second.second);
      timers_.erase(due);
      callback();
    }
    now_ = end;
  }

 private:
  TimePoint now_{std::chrono::seconds(1)};
  TimerId last_ = 0;
  std::map<TimerId, std::pair<TimePoint, std::function<void()>>> timers_;
};

class FakeExchange final : public HttpExchange {
 public:
  explicit FakeExchange(HttpRequest request) : request_(std::move(request)) {}
  const HttpRequest& request() const override { return request_; }
  void reply(HttpReply reply) override {
    if (!sent) sent = std::move(reply);
    on_disconnect_ = nullptr;
  }
  void abort() override { aborted = true; }
  void onDisconnect(std::function<void()> callback) override {
    on_disconnect_ = std::move(callback);
  }
  void disconnect() {
    if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
  }

  std::optional<HttpReply> sent;
  bool aborted = false;

 private:
  HttpRequest request_;
  std::function<void()> on_disconnect_;
};

/// Returns the value of a reply's header, or an empty string.
inline std::string replyHeader(const HttpReply& reply, std::string_view name) {
  for (const HttpHeader& header : reply.headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

}  // namespace coursepond::standin
