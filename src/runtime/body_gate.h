#pragma once

/// Internal to the ProxyServer: how many large request bodies are asked for at a time. An ingress
/// says when a body may come; on a slow link bodies that come all at once delay each other and
/// every small message between them, receipts and answers included.

#include <cstddef>
#include <deque>
#include <functional>

namespace coursepond::runtime {

class BodyGate {
 public:
  /// Called when its turn came. False: it is not wanted any more, and the next one's turn is now.
  using Turn = std::function<bool()>;

  explicit BodyGate(std::size_t limit) : limit_(limit) {}

  /// Calls `turn` now, or when a body that was asked for is here. A turn that is taken ends with
  /// leave().
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
