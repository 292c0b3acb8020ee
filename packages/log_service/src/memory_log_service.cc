#include "dogwoodport/log_service/memory_log_service.h"

#include <algorithm>

namespace dogwoodport {

std::uint64_t MemoryLogService::Append(const std::vector<std::string>& records) {
  const std::scoped_lock lock(mutex_);
  CheckUp();
  const std::uint64_t first = next_;
  for (const std::string& data : records) records_.push_back({next_++, data});
  Expire();
  if (faults_.lost_answers > 0) {
    --faults_.lost_answers;
    throw LogServiceError(LogFailure::kResponseLost, "no answer to the append");
  }
  return first;
}

LogPage MemoryLogService::Read(std::uint64_t from, std::uint32_t max) {
  const std::scoped_lock lock(mutex_);
  CheckUp();
  LogPage page{FirstRetainedLocked(), next_, {}};
  if (from < page.first_retained) {
    throw LogServiceError(LogFailure::kExpired, "offset " + std::to_string(from) +
                                                    " is no longer retained; first is " +
                                                    std::to_string(page.first_retained));
  }
  auto it = std::lower_bound(
      records_.begin(), records_.end(), from,
      [](const LogRecord& record, std::uint64_t offset) { return record.offset < offset; });
  for (; it != records_.end() && page.records.size() < max; ++it) page.records.push_back(*it);
  return page;
}

std::uint64_t MemoryLogService::FirstRetained() {
  const std::scoped_lock lock(mutex_);
  CheckUp();
  return FirstRetainedLocked();
}

std::vector<ListedInstance> MemoryLogService::ListInstances() {
  const std::scoped_lock lock(mutex_);
  CheckUp();
  return instances_;
}

void MemoryLogService::SetFaults(const LogFaults& faults) {
  const std::scoped_lock lock(mutex_);
  faults_ = faults;
}

LogFaults MemoryLogService::faults() const {
  const std::scoped_lock lock(mutex_);
  return faults_;
}

void MemoryLogService::SetInstances(std::vector<ListedInstance> instances) {
  const std::scoped_lock lock(mutex_);
  instances_ = std::move(instances);
}

void MemoryLogService::SetRetained(std::size_t retained) {
  const std::scoped_lock lock(mutex_);
  retained_ = retained;
  Expire();
}

void MemoryLogService::MakeHole(std::uint64_t offset) {
  const std::scoped_lock lock(mutex_);
  std::erase_if(records_, [&](const LogRecord& record) { return record.offset == offset; });
}

void MemoryLogService::Expire() {
  while (records_.size() > retained_) records_.pop_front();
}

void MemoryLogService::CheckUp() const {
  if (faults_.down) throw LogServiceError(LogFailure::kUnreachable, "the log service is down");
}

std::uint64_t MemoryLogService::FirstRetainedLocked() const {
  return records_.empty() ? next_ : records_.front().offset;
}

}  // namespace dogwoodport
