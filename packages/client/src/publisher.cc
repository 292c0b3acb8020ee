#include "dogwoodport/client/publisher.h"

#include "dogwoodport/client/client_error.h"

namespace dogwoodport {
namespace {

constexpr Duration kRetryInterval{500'000};
/// Reads after each append, so that a record that becomes readable late is not appended again.
constexpr int kReadsPerAppend = 4;
constexpr Duration kReadInterval{100'000};

constexpr const char* kNothingChanged =
    "the log service is unreachable; nothing was changed, and repeating the command is safe";
constexpr const char* kOutcomeUnknown =
    "the log service did not confirm the change, which may still take effect; repeating the "
    "command is safe, and 'dogwoodctl audit' shows the outcome once the log service is reachable";

}  // namespace

Publication Publisher::Publish(const Record& record) {
  const std::string text = EncodeRecord(record);
  const TimePoint deadline = timer_.Now() + timeout_;
  bool may_be_appended = false;
  while (true) {
    const AppendResult append_result = TryAppend(text);
    may_be_appended = may_be_appended || append_result != AppendResult::kNotAppended;
    for (int n = 0; may_be_appended && n < kReadsPerAppend; ++n) {
      if (const AuditEntry* entry = ReadBack(record)) {
        return {entry->offset, entry->outcome, entry->detail};
      }
      if (!timer_.Sleep(kReadInterval)) break;
    }
    if (timer_.Now() >= deadline || !timer_.Sleep(kRetryInterval)) {
      throw ClientError(ExitStatus::kUnreachable,
                        may_be_appended ? kOutcomeUnknown : kNothingChanged);
    }
  }
}

Publisher::AppendResult Publisher::TryAppend(const std::string& text) {
  try {
    log_.Append({text});
    return AppendResult::kAppended;
  } catch (const LogServiceError& e) {
    progress_ << "append failed, will be retried: " << e.what() << "\n";
    return e.failure() == LogFailure::kUnreachable ? AppendResult::kNotAppended
                                                   : AppendResult::kUnknown;
  }
}

const AuditEntry* Publisher::ReadBack(const Record& record) {
  try {
    view_.CatchUp();
  } catch (const ClientError& e) {
    if (e.status() != ExitStatus::kUnreachable) throw;
  }
  return FindEntry(record);
}

const AuditEntry* Publisher::FindEntry(const Record& record) const {
  // The first entry has the outcome. Later ones are retries after a lost response.
  for (const AuditEntry& entry : view_.state().audit()) {
    if (entry.writer == record.writer && entry.incarnation == record.incarnation &&
        entry.sequence == record.sequence) {
      return &entry;
    }
  }
  return nullptr;
}

}  // namespace dogwoodport
