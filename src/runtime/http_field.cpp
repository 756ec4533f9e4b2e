#include "runtime/http_field.h"

#include <algorithm>

#include "core/http_headers.h"

namespace coursepond::runtime {
namespace {

std::string_view trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool listContains(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (equalsIgnoringCase(trimmed(list.substr(0, comma)), token)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

FieldTable::FieldTable(const HeaderNames& names) : names_(names) {
  const std::vector<KnownField> known = {
      {"TE", FieldRole::kHopByHop},
      {"Host", FieldRole::kHost},
      {"Expect", FieldRole::kExpect},
      {"Trailer", FieldRole::kHopByHop},
      {"Upgrade", FieldRole::kHopByHop},
      {"Connection", FieldRole::kConnection},
      {"Keep-Alive", FieldRole::kHopByHop},
      {"Retry-After", FieldRole::kRetryAfter},
      {"Content-Length", FieldRole::kContentLength},
      {"Content-Encoding", FieldRole::kContentEncoding},
      {"Proxy-Connection", FieldRole::kHopByHop},
      {"Transfer-Encoding", FieldRole::kTransferEncoding},
      {"Proxy-Authenticate", FieldRole::kHopByHop},
      {"Proxy-Authorization", FieldRole::kHopByHop},
      {http_headers::kAttempt, FieldRole::kAttempt},
      {http_headers::kOutcome, FieldRole::kOutcome},
      {http_headers::kPriority, FieldRole::kPriority},
      {http_headers::kConfigurationVersion, FieldRole::kConfigurationVersion},
      {http_headers::kHopClass, FieldRole::kHopClass},
      {http_headers::kHopLoad, FieldRole::kHopLoad},
      {http_headers::kReason, FieldRole::kReason},
      {names.request_id, FieldRole::kRequestId},
      {names.deadline, FieldRole::kDeadline},
      {names.load, FieldRole::kLoad},
      {names.draining, FieldRole::kDraining},
      {names.server_limit, FieldRole::kServerLimit},
      {names.not_run, FieldRole::kNotRun},
      {names.signature, FieldRole::kSignature},
      {names.target_instance, FieldRole::kTargetInstance},
      {names.caller_service, FieldRole::kCallerService},
      {names.api_key, FieldRole::kApiKey},
      {names.tenant, FieldRole::kTenant},
      {names.instance, FieldRole::kInstance},
  };
  for (const KnownField& field : known) {
    if (field.name.empty()) continue;
    if (by_length_.size() <= field.name.size()) by_length_.resize(field.name.size() + 1);
    by_length_[field.name.size()].push_back(field);
  }
}

const FieldTable& FieldTable::standard() {
  static const FieldTable table{HeaderNames()};
  return table;
}

FieldRole FieldTable::roleOf(std::string_view name) const {
  if (name.size() >= by_length_.size()) return FieldRole::kPlain;
  for (const KnownField& field : by_length_[name.size()]) {
    if (equalsIgnoringCase(field.name, name)) return field.role;
  }
  return FieldRole::kPlain;
}

void FieldBlock::add(std::string_view name, std::string_view value) {
  const FieldRole role = table_->roleOf(name);
  RoleSummary& summary = summaries_[static_cast<std::size_t>(role)];
  if (summary.count++ == 0) summary.first = static_cast<std::uint32_t>(entries_.size());
  entries_.push_back({static_cast<std::uint32_t>(text_.size()),
                      static_cast<std::uint32_t>(name.size()),
                      static_cast<std::uint32_t>(value.size()), role});
  text_.append(name);
  text_.append(value);
}

void FieldBlock::clear() {
  text_.clear();
  entries_.clear();
  summaries_.fill({});
}

FieldView FieldBlock::operator[](std::size_t index) const {
  const Entry& entry = entries_[index];
  const std::string_view text = text_;
  return {text.substr(entry.offset, entry.name_size),
          text.substr(entry.offset + entry.name_size, entry.value_size), entry.role};
}

std::string_view FieldBlock::find(FieldRole role) const {
  const RoleSummary& summary = summaries_[static_cast<std::size_t>(role)];
  return summary.count == 0 ? std::string_view() : (*this)[summary.first].value;
}

std::size_t FieldBlock::count(FieldRole role) const {
  return summaries_[static_cast<std::size_t>(role)].count;
}

bool FieldBlock::connectionNames(std::string_view token) const {
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    if (entries_[index].role != FieldRole::kConnection) continue;
    if (listContains((*this)[index].value, token)) return true;
  }
  return false;
}

}  // namespace coursepond::runtime
