#pragma once

/// Header fields as the data path stores them: one block of text, and for each field its role for a
/// proxy, which is determined once while parsing.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ascii.h"
#include "runtime/header_names.h"

namespace coursepond::runtime {

/// How a proxy treats a field.
enum class FieldRole : std::uint8_t {
  kPlain,     ///< Forwarded unchanged.
  kHopByHop,  ///< Applies to one connection only; never forwarded.
  kConnection,
  kContentLength,
  kTransferEncoding,
  kExpect,
  kHost,
  kRequestId,
  kDeadline,
  kPriority,
  kAttempt,
  kOutcome,
  kDraining,
  kLoad,
  kServerLimit,
  kConfigurationVersion,
  kRetryAfter,
  kContentEncoding,
  kSignature,
  kNotRun,
  kTargetInstance,
  kCallerService,
  kApiKey,
  kTenant,
  kInstance,
  kHopClass,
  kHopLoad,
  kReason,
};
inline constexpr std::size_t kFieldRoleCount = 28;

/// Maps field names to roles, for one set of header names.
class FieldTable {
 public:
  explicit FieldTable(const HeaderNames& names);
  /// The table for the default names.
  static const FieldTable& standard();

  /// The role of the field called `name` (compared without case).
  FieldRole roleOf(std::string_view name) const;
  const HeaderNames& names() const { return names_; }

 private:
  struct KnownField {
    std::string name;
    FieldRole role;
  };
  HeaderNames names_;
  /// Indexed by the length of the name, so that each field is compared with few names.
  std::vector<std::vector<KnownField>> by_length_;
};

/// The role according to the default names.
inline FieldRole roleOf(std::string_view name) { return FieldTable::standard().roleOf(name); }

/// One field. The views are valid until the block changes.
struct FieldView {
  std::string_view name;
  std::string_view value;
  FieldRole role = FieldRole::kPlain;
};

/// The fields of one message in order. clear() keeps the memory for the next message.
class FieldBlock {
 public:
  /// `table` must outlive the block.
  explicit FieldBlock(const FieldTable& table = FieldTable::standard()) : table_(&table) {}

  void add(std::string_view name, std::string_view value);
  void clear();

  std::size_t size() const { return entries_.size(); }
  FieldView operator[](std::size_t index) const;

  /// The value of the first field with that role; empty when there is none.
  std::string_view find(FieldRole role) const;
  std::size_t count(FieldRole role) const;
  /// Whether a Connection field names `token` (compared without case).
  bool connectionNames(std::string_view token) const;

 private:
  struct Entry {
    std::uint32_t offset;
    std::uint32_t name_size;
    std::uint32_t value_size;
    FieldRole role;
  };
  struct RoleSummary {
    std::uint32_t count = 0;
    std::uint32_t first = 0;  ///< Index of the first field with the role, if there is one.
  };
  const FieldTable* table_;
  std::string text_;
  std::vector<Entry> entries_;
  std::array<RoleSummary, kFieldRoleCount> summaries_{};
};

}  // namespace coursepond::runtime
