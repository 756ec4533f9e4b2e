#pragma once

/// Internal to the ProxyServer: limits how many large request bodies are requested at the same
/// time. An ingress tells the previous hop when to send a body. On a slow link, bodies that arrive
/// all at once would delay each other and every small message between them, including receipts and
/// answers.

#include <cstddef>
#include <deque>
#include <functional>

namespace coursepond::runtime {

class BodyGate {
 public:
  /// Called when a slot is free. Returns false if the body is no longer wanted; the slot then goes
  /// to the next waiting request.
  using Turn = std::function<bool()>;

  explicit BodyGate(std::size_t limit) : limit_(limit) {}

  /// Calls `turn` now if a slot is free, or else when a body that was requested has arrived. If
  /// `turn` returns true, the slot must be released with leave().
  void enter(Turn turn) {
    waiting_.push_back(std::move(turn));
    admit();
  }
  void leave() {
    --active_;
    admit();
  }

 private:
  void admit() {
    while (active_ < limit_ && !waiting_.empty()) {
      const Turn turn = std::move(waiting_.front());
      waiting_.pop_front();
      ++active_;
      if (!turn()) --active_;
    }
  }

  std::size_t limit_;
  std::size_t active_ = 0;
  std::deque<Turn> waiting_;
};

}  // namespace coursepond::runtime
