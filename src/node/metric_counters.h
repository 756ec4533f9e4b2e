#pragma once

/// Adds the counters of a part's statistics to a table of metrics.

#include <cstdint>
#include <vector>

#include "runtime/metrics.h"

namespace coursepond::node {

/// A counter of one part: its name, its meaning and the field that holds it.
template <typename Statistics>
struct CounterField {
  const char* name;
  const char* meaning;
  std::uint64_t Statistics::*field;
};

/// `read` returns the statistics as they are now.
template <typename Statistics, typename Read>
void addCounters(runtime::MetricTable& table, const std::vector<CounterField<Statistics>>& fields,
                 Read read) {
  for (const CounterField<Statistics>& counter : fields) {
    table.addCounter(counter.name, counter.meaning,
                     [read, field = counter.field] { return static_cast<double>(read().*field); });
  }
}

}  // namespace coursepond::node
