#pragma once

/// Interface of a system that distributes configuration, as the bench needs it.

#include <string>

#include "core/ids.h"
#include "figures.h"

namespace coursepond::bench {

class DistributionSystem {
 public:
  virtual ~DistributionSystem() = default;
  virtual std::string name() const = 0;
  virtual void start() = 0;
  /// Whether a published version takes effect without a confirmation.
  virtual bool publicationIsAcceptance() const = 0;
  /// Plans the published version and confirms it.
  virtual void confirm(Version version) = 0;
  /// Bytes sent by all nodes since the start.
  virtual PhaseBytes bytes() const = 0;
  /// Bytes sent since the start by each node (and server), in any order.
  virtual std::vector<double> bytesByNode() const = 0;
  /// Bytes sent between zones since the start.
  virtual double crossingBytes() const = 0;
  /// Number of requests to the platform since the start.
  virtual std::uint64_t sourceReads() const = 0;
};

}  // namespace coursepond::bench
