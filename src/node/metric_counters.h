#pragma once

/// Adds the counters of a component's statistics to a metric table.

#include <cstdint>
#include <vector>

#include "runtime/metrics.h"

namespace coursepond::node {

/// A counter of one component: metric name, help text and the statistics field with its value.
template <typename Statistics>
struct CounterField {
  const char* name;
  const char* meaning;
  std::uint64_t Statistics::*field;
};

/// `read` returns the current statistics.
template <typename Statistics, typename Read>
void addCounters(runtime::MetricTable& table, const std::vector<CounterField<Statistics>>& fields,
                 Read read) {
  for (const CounterField<Statistics>& counter : fields) {
    table.addCounter(counter.name, counter.meaning,
                     [read, field = counter.field] { return static_cast<double>(read().*field); });
  }
}

}  // namespace coursepond::node
